import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {round} from './bench-group.js';

/** Sends one request; resolves with its latency in milliseconds, or with a code when it was not answered as wanted. */
export type SendOnce = () => Promise<number | string>;

export type LoadResult = {readonly answered: number; readonly failures: Readonly<Record<string, number>>; readonly perSecond: number; readonly latency: Histogram; readonly startLatency: Histogram};

/** What a process used since its start. */
export type Usage = {
	readonly cpuMs: number;
	readonly residentBytes: number;
	/** Bytes of all read and write calls, on sockets and files. */
	readonly ioBytes: number;
	readonly atMs: number;
};

/** Linux counts CPU time in hundredths of a second in `/proc/<pid>/stat`. */
const tickMs = 10;
const pageBytes = 4096;
const maxLatencyUs = 60_000_000;
/** Requests of the paced load that may be under way at once; a stalled system would otherwise fill the memory. */
const maxOutstanding = 2000;
/** Connections open, and idle ones are replaced, at the start of a paced load. */
const pacedStartMs = 400;

function newHistogram(): Histogram {
	return build({lowestDiscernibleValue: 1, highestTrackableValue: maxLatencyUs, numberOfSignificantValueDigits: 3});
}

/** Percentile of a histogram of microseconds, in milliseconds. */
export function percentileMs(histogram: Histogram, percentile: number): number {
	return round(histogram.getValueAtPercentile(percentile) / 1000);
}

/** Figures of a process from `/proc`. */
export function readUsage(pid: number): Usage {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
	// The command name may contain spaces; the fields after it start with the third, the state.
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ').map(Number);
	const io = readFileSync(`/proc/${pid}/io`, 'utf8');
	const counter = (name: string): number => Number(new RegExp(`^${name}: (\\d+)$`, 'm').exec(io)?.[1] ?? Number.NaN);
	return {
		cpuMs: (fields[11]! + fields[12]!) * tickMs, residentBytes: fields[21]! * pageBytes, ioBytes: counter('rchar') + counter('wchar'), atMs: performance.now(),
	};
}

class Recorder {
	readonly latency = newHistogram();
	readonly startLatency = newHistogram();
	answered = 0;
	readonly failures: Record<string, number> = {};

	async record(send: SendOnce, latency = this.latency): Promise<void> {
		const latencyMs = await send();
		if (typeof latencyMs === 'string') {
			this.failures[latencyMs] = (this.failures[latencyMs] ?? 0) + 1;
			return;
		}

		this.answered++;
		latency.recordValue(Math.max(1, Math.min(maxLatencyUs, Math.round(latencyMs * 1000))));
	}

	result(startMs: number): LoadResult {
		const seconds = (performance.now() - startMs) / 1000;
		return {
			answered: this.answered, failures: this.failures, perSecond: this.answered / seconds, latency: this.latency, startLatency: this.startLatency,
		};
	}
}

/** Keeps `concurrency` requests under way. */
export async function sendClosed(send: SendOnce, concurrency: number, durationMs: number): Promise<LoadResult> {
	const recorder = new Recorder();
	const startMs = performance.now();
	const worker = async (): Promise<void> => {
		while (performance.now() - startMs < durationMs) {
			await recorder.record(send);
		}
	};

	await Promise.all(Array.from({length: concurrency}, async () => worker()));
	return recorder.result(startMs);
}

/** Sends at a fixed rate, whatever the answers take. */
export async function sendPaced(send: SendOnce, perSecond: number, durationMs: number): Promise<LoadResult> {
	const recorder = new Recorder();
	const outstanding = new Set<Promise<void>>();
	const startMs = performance.now();
	let sent = 0;
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs = performance.now() - startMs) {
		while (sent < elapsedMs * perSecond / 1000 && outstanding.size < maxOutstanding) {
			sent++;
			const one = recorder.record(send, elapsedMs < pacedStartMs ? recorder.startLatency : recorder.latency);
			outstanding.add(one);
			void one.finally(() => outstanding.delete(one)); // eslint-disable-line promise/prefer-await-to-then -- the loop goes on meanwhile
		}

		await sleep(1);
	}

	await Promise.all(outstanding);
	return recorder.result(startMs);
}
