/** Publishes a program of several files again and again: `publishing.ts FOLDER ROUNDS`. */

import { publish } from '../../publish.mjs'

const [folder = '', rounds = '0'] = process.argv.slice(2)

for (let round = 0; round < Number(rounds); round++)
	publish(
		folder,
		[
			{ path: 'main.js', contents: "await import('./part.js')" },
			{ path: 'part.js', contents: '' },
		],
		'main.js',
	)
