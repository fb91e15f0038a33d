export interface InstallOptions {
	/** Pause before the second attempt; later ones are longer. */
	readonly pauseMs?: number
	readonly stallMs?: number
	readonly env?: NodeJS.ProcessEnv
}

export function install(
	root: string,
	workspace?: string,
	options?: InstallOptions,
): Promise<void>
