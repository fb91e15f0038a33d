/** The one exception class, raised by one helper; requests use outcomes. */

import type { ErrorKind } from '@juniperhook/core'
import { ERRORS } from '@juniperhook/core'
import ModernError from 'modern-errors'

/** An error of a known kind. */
export const JuniperhookError = ModernError.subclass('JuniperhookError', {
	props: { kind: 'internal' as ErrorKind, detail: '' },
})

/** Raises a {@link JuniperhookError}; `detail` names what and where. */
export function fail(kind: ErrorKind, detail: string): never {
	const text = `${ERRORS[kind].text} ${detail}`
	throw new JuniperhookError(text, { props: { kind, detail } })
}

/** The kind of any caught value. */
export function kindOf(err: unknown): ErrorKind {
	return err instanceof JuniperhookError ? err.kind : 'internal'
}

/** The message of any caught value. */
export function messageOf(err: unknown): string {
	return err instanceof Error ? err.message : String(err)
}
