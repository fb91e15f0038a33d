import type { BuildOptions } from 'esbuild'

export const SHARED: BuildOptions
