/** Installs the dependencies if necessary, then builds. */

await import('./install.mjs')
await import('./build.mjs')

export {}
