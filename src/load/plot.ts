import type {ReplayResult} from './outcome.js';
import {meetsTargets} from './scoring.js';

type Series = {readonly name: string; readonly colour: string; readonly points: ReadonlyArray<readonly [number, number]>};

const width = 720;
const height = 200;
const margin = 44;
const colours: Readonly<Record<string, string>> = {system: '#1b6ca8', baseline: '#c0562f'};
const bucketMs = 500;

/** Computes a value for each interval of `bucketMs` from the outcomes of the requests scheduled in it. Returns pairs of the start of the interval in seconds and the value. */
function valuesPerBucket(result: ReplayResult, value: (outcomes: ReplayResult['outcomes']) => number): Array<[number, number]> {
	const buckets = Math.ceil(result.trace.header.durationMs / bucketMs);
	return Array.from({length: buckets}, (_, index) => {
		const bucketOutcomes = result.outcomes.filter(({request}) => Math.floor(request.atMs / bucketMs) === index);
		return [index * bucketMs / 1000, value(bucketOutcomes)];
	});
}

function firstTokenP95Ms(outcomes: ReplayResult['outcomes']): number {
	const waits = outcomes.flatMap(({request, firstMs, sentMs}) => request.kind === 'model' && firstMs !== undefined ? [firstMs - sentMs] : []).sort((a, b) => a - b);
	return waits[Math.floor(waits.length * 0.95)] ?? 0;
}

function renderChart(title: string, unit: string, series: readonly Series[]): string {
	const points = series.flatMap(one => one.points);
	const highestX = Math.max(1, ...points.map(([x]) => x));
	const highestY = Math.max(1, ...points.map(([, y]) => y));
	const toX = (x: number): string => (margin + (x / highestX * (width - (2 * margin)))).toFixed(1);
	const toY = (y: number): string => (height - margin - (y / highestY * (height - (2 * margin)))).toFixed(1);
	const lines = series.map(({name, colour, points}, index) => `<polyline fill="none" stroke="${colour}" stroke-width="1.5" points="${points.map(([x, y]) => `${toX(x)},${toY(y)}`).join(' ')}"/>`
		+ `<text x="${width - margin - 90}" y="${16 + (index * 14)}" fill="${colour}">${name}</text>`);
	return `<svg viewBox="0 0 ${width} ${height}" width="${width}" height="${height}" font-family="sans-serif" font-size="11">
<text x="${margin}" y="16">${title}</text>
<path d="M${margin},${margin / 2}V${height - margin}H${width - margin}" fill="none" stroke="#888"/>
<text x="${margin - 4}" y="${toY(highestY)}" text-anchor="end">${highestY.toFixed(0)}</text>
<text x="${margin - 4}" y="${toY(0)}" text-anchor="end">0</text>
<text x="${width - margin}" y="${height - margin + 16}" text-anchor="end">${highestX.toFixed(0)} s</text>
<text x="${margin}" y="${height - margin + 16}">${unit}</text>
${lines.join('\n')}
</svg>`;
}

/** Renders an HTML page that charts requests within targets, refusals and time to first token over the trace, with one line per router. */
export function renderPlotPage(results: Readonly<Partial<Record<'system' | 'baseline', ReplayResult>>>): string {
	const series = (value: (outcomes: ReplayResult['outcomes']) => number): Series[] =>
		Object.entries(results).map(([name, result]) => ({name, colour: colours[name]!, points: valuesPerBucket(result, value)}));
	const charts = [
		renderChart('Requests answered within both targets', 'per half second', series(outcomes => outcomes.filter(outcome => meetsTargets(outcome)).length)),
		renderChart('Refused requests', 'per half second', series(outcomes => outcomes.filter(({kind}) => kind === 'refused').length)),
		renderChart('Time to first token, 95th percentile', 'milliseconds', series(firstTokenP95Ms)),
	];
	return `<!doctype html>\n<html lang="en"><meta charset="utf-8"><title>Replay</title><body>\n${charts.join('\n')}\n</body></html>\n`;
}
