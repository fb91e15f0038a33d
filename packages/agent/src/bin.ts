/**
 * The binary `juniperhook-agent`. `juniperhook-agent FILE` starts the daemon directly, so
 * that the command-line library is never loaded into its memory.
 */

// SIGHUP would terminate Node until the daemon installs its own handler.
process.on('SIGHUP', () => {})

const args = process.argv.slice(2)
const [file] = args
const isDirectStart = args.length === 1 && !file?.startsWith('-')
if (isDirectStart) {
	const { runAgent } = await import('./main.ts')
	await runAgent(file!)
} else {
	const { runCommandLine } = await import('./commandLine.ts')
	await runCommandLine(args)
}

export {}
