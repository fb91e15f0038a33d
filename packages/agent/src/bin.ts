/**
 * The binary `juniperhook-agent`. `juniperhook-agent FILE` goes straight to the
 * daemon, so that the command-line library never stands in its memory.
 */

const args = process.argv.slice(2)
const [file] = args
const plainStart = args.length === 1 && !file?.startsWith('-')
if (plainStart) {
	const { runAgent } = await import('./main.ts')
	await runAgent(file!)
} else {
	const { runCommandLine } = await import('./commandLine.ts')
	await runCommandLine(args)
}

export {}
