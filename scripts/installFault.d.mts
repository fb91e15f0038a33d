/** A kind of machine, in npm's terms. */
export interface Machine {
	readonly os: string
	readonly cpu: string
	readonly libc: string
}

export function describeMachine(): Machine
export function findInstallFault(
	root: string,
	machine: Machine,
	workspace?: string,
): string | undefined

export function listNeeded(
	packages: Record<string, object>,
	workspace: string,
): Set<string>
