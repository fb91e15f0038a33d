/**
 * The `juniperhook` binary. `juniperhook entry FILE` starts the daemon directly, so that
 * the command-line library is not loaded into its memory.
 */

// SIGHUP would terminate Node until the daemon installs its own handler.
process.on('SIGHUP', () => {})

const args = process.argv.slice(2)
const [command, file] = args
const isDirectStart =
	command === 'entry' && args.length === 2 && !file?.startsWith('-')
if (isDirectStart) {
	const { runEntry } = await import('./main.ts')
	await runEntry(file!)
} else {
	const { runCommandLine } = await import('./commandLine.ts')
	await runCommandLine(args)
}

export {}
