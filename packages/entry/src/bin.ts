/**
 * The binary `juniperhook`. `juniperhook entry FILE` goes straight to the
 * daemon, so that the command-line library never stands in its memory.
 */

const args = process.argv.slice(2)
const [command, file] = args
const plainStart =
	command === 'entry' && args.length === 2 && !file?.startsWith('-')
if (plainStart) {
	const { runEntry } = await import('./main.ts')
	await runEntry(file!)
} else {
	const { runCommandLine } = await import('./commandLine.ts')
	await runCommandLine(args)
}

export {}
