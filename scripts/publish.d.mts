/** A file of a built program. */
export interface Output {
	readonly path: string
	readonly contents: Uint8Array | string
}

export function publish(
	folder: string,
	outputs: readonly Output[],
	program: string,
): void
