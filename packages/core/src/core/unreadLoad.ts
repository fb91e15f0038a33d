/**
 * Load of the prompts that a server has not read yet. A rank reads one prompt after the
 * other: with prompts of 40 to 2,900 tokens, the one that comes after a long one waits,
 * and so does every stream of the group while both are read in one pass.
 */

import type { EngineProfile } from '../internal.ts'

/**
 * Share of the target time that reading a server's unread prompts may take for it to
 * count as full. A rank reads one prompt after the other; the rest of the target is left
 * for the prompt that is added and for the pass that reads it.
 */
const UNREAD_TARGET_SHARE = 0.5
const SECOND_MS = 1_000

/** Returns the load that each unread prompt token adds to a server. */
export function loadPerUnreadToken(
	{ prefillTokensPerSecond }: Pick<EngineProfile, 'prefillTokensPerSecond'>,
	targetMs: number,
): number {
	if (prefillTokensPerSecond <= 0 || targetMs <= 0) return 0
	return SECOND_MS / prefillTokensPerSecond / (UNREAD_TARGET_SHARE * targetMs)
}
