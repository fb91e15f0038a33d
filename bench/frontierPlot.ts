/** SVG plot of skew against cost for all policies. */

import type { PolicyResult } from './rebalance.ts'

const WIDTH = 760
const HEIGHT = 420
const MARGIN = 60
const COLOURS = ['#1b6ca8', '#c0392b', '#1e8449', '#8e44ad', '#b9770e']

/** Plots a dot for each policy and trace; the cost axis is logarithmic. */
export function plotFrontier(rows: readonly PolicyResult[]): string {
	const traces = [...new Set(rows.map(row => row.trace))]
	const maxLost = Math.max(...rows.map(row => row.lostSeconds), 1)
	const maxSkew = Math.min(3, Math.max(...rows.map(row => row.meanSkew)))
	const x = (lost: number) =>
		MARGIN + (Math.log1p(lost) / Math.log1p(maxLost)) * (WIDTH - 2 * MARGIN)
	const y = (skew: number) =>
		HEIGHT - MARGIN - ((skew - 1) / (maxSkew - 1)) * (HEIGHT - 2 * MARGIN)
	const dots = rows.map(row => {
		const colour = COLOURS[traces.indexOf(row.trace)] ?? '#333'
		const at = `${x(row.lostSeconds).toFixed(0)}" cy="${y(row.meanSkew).toFixed(0)}`
		const radius = row.policy.startsWith('ours') ? 5 : 3
		return `<circle cx="${at}" r="${radius}" fill="${colour}"><title>${row.trace}, ${row.policy}: skew ${row.meanSkew.toFixed(3)}, ${row.lostSeconds.toFixed(1)} s lost</title></circle>`
	})
	const legend = traces.map(
		(trace, at) =>
			`<text x="${WIDTH - MARGIN - 90}" y="${MARGIN + at * 18}" fill="${COLOURS[at]}">${trace}</text>`,
	)
	const ticks = [1, 1.5, 2, 2.5, 3].filter(skew => skew <= maxSkew)
	const labels = ticks.map(
		skew =>
			`<text x="${MARGIN - 34}" y="${y(skew) + 4}">${skew.toFixed(1)}</text>`,
	)
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="12">`,
		`<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
		`<path d="M${MARGIN} ${MARGIN / 2}V${HEIGHT - MARGIN}H${WIDTH - MARGIN / 2}" fill="none" stroke="#333"/>`,
		`<text x="${MARGIN}" y="20">mean step-time skew (large dots: ours; small: baselines)</text>`,
		`<text x="${WIDTH / 2 - 120}" y="${HEIGHT - 18}">capacity lost to loading, s, logarithmic</text>`,
		...labels,
		...legend,
		...dots,
		'</svg>\n',
	].join('\n')
}
