/** What a quarantine applies to, and the keys by which crash evidence refers to it. */

/** A request, or a part that the prompts of several requests share. */
export type Subject =
	| { readonly kind: 'request'; readonly fingerprint: string }
	| { readonly kind: 'part'; readonly id: string }

/** First character of a part's key; no fingerprint starts with it. */
const PART_MARK = '#'

/** Returns the key of a subject. */
export function subjectKeyOf(subject: Subject): string {
	switch (subject.kind) {
		case 'request':
			return subject.fingerprint
		case 'part':
			return `${PART_MARK}${subject.id}`
		default:
			return subject satisfies never
	}
}

/** Returns the kind of subject that a key refers to. */
export function subjectKindOf(key: string): Subject['kind'] {
	return key.startsWith(PART_MARK) ? 'part' : 'request'
}

/** Returns the subject that a key refers to. */
export function subjectOf(key: string): Subject {
	return subjectKindOf(key) === 'part'
		? { kind: 'part', id: key.slice(PART_MARK.length) }
		: { kind: 'request', fingerprint: key }
}
