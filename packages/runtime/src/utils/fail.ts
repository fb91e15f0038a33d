/** The exception class; the result of a request is an outcome, not an exception. */

import type { ErrorKind } from '@juniperhook/core'
import { ERRORS } from '@juniperhook/core'
import ModernError from 'modern-errors'

/** An error of a known kind. */
export const JuniperhookError = ModernError.subclass('JuniperhookError', {
	props: { kind: 'internal' as ErrorKind, detail: '' },
})

/** Throws a {@link JuniperhookError}; `detail` says what failed and where. */
export function fail(kind: ErrorKind, detail: string): never {
	const text = `${ERRORS[kind].text} ${detail}`
	throw new JuniperhookError(text, { props: { kind, detail } })
}

/** Returns the error kind of a caught value. */
export function kindOf(err: unknown): ErrorKind {
	return err instanceof JuniperhookError ? err.kind : 'internal'
}

/** Returns the message of a caught value. */
export function messageOf(err: unknown): string {
	return err instanceof Error ? err.message : String(err)
}
