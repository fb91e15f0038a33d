/** Installs the dependencies if necessary, then builds. */

import { install } from './installation.mjs'

await install('.')
await import('./build.mjs')
