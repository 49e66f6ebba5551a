import {readFileSync} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {roundToThousandths} from './bench-group.js';

/** Sends one request. Resolves with its latency in milliseconds, or with an error code if it failed. */
export type SendRequest = () => Promise<number | string>;

/** Result of a generated load. `perSecond` is the number of answered requests per second, and the histograms hold latencies of answered requests in microseconds. */
export type LoadResult = {readonly answered: number; readonly failures: Readonly<Record<string, number>>; readonly perSecond: number; readonly latency: Histogram; readonly warmUpLatency: Histogram};

/** Resource usage of a process; CPU time and I/O are counted from its start. */
export type ProcessUsage = {
	readonly cpuMs: number;
	readonly residentBytes: number;
	/** Bytes transferred by all read and write calls, on sockets and files. */
	readonly ioBytes: number;
	/** Time at which the usage was read, in milliseconds of `performance.now()`. */
	readonly atMs: number;
};

/** Unit of the CPU times in `/proc/<pid>/stat`, in milliseconds. Linux counts these times in hundredths of a second. */
const cpuTickMs = 10;
/** Size of the pages in which `/proc/<pid>/stat` counts resident memory, in bytes. */
const pageBytes = 4096;
/** Highest latency that the histograms record, in microseconds. Longer latencies are recorded as this value. */
const maxLatencyUs = 60_000_000;
/** Maximum number of concurrent requests of an open-loop load. Without this limit, a stalled system under test would exhaust the memory of this process. */
const maxOutstandingRequests = 2000;
/** Duration of the warm-up period of an open-loop load, in milliseconds. Connections are opened and idle ones replaced in this period, so its latencies are recorded separately. */
const openLoopWarmUpMs = 400;

function newHistogram(): Histogram {
	return build({lowestDiscernibleValue: 1, highestTrackableValue: maxLatencyUs, numberOfSignificantValueDigits: 3});
}

/** Returns a percentile in milliseconds of a histogram recorded in microseconds. */
export function percentileMs(histogram: Histogram, percentile: number): number {
	return roundToThousandths(histogram.getValueAtPercentile(percentile) / 1000);
}

/** Reads the resource usage of a process from `/proc`. */
export function readProcessUsage(pid: number): ProcessUsage {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
	// The command name may contain spaces and parentheses, so only the text after its closing parenthesis is split. `fields[0]` is the third field of the line, the process state.
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ').map(Number);
	const io = readFileSync(`/proc/${pid}/io`, 'utf8');
	const counter = (name: string): number => Number(new RegExp(`^${name}: (\\d+)$`, 'm').exec(io)?.[1] ?? Number.NaN);
	return {
		cpuMs: (fields[11]! + fields[12]!) * cpuTickMs, residentBytes: fields[21]! * pageBytes, ioBytes: counter('rchar') + counter('wchar'), atMs: performance.now(),
	};
}

class LatencyRecorder {
	readonly latency = newHistogram();
	readonly warmUpLatency = newHistogram();
	answered = 0;
	readonly failures: Record<string, number> = {};

	async record(send: SendRequest, latency = this.latency): Promise<void> {
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
			answered: this.answered, failures: this.failures, perSecond: this.answered / seconds, latency: this.latency, warmUpLatency: this.warmUpLatency,
		};
	}
}

/** Generates a closed-loop load that keeps `concurrency` requests outstanding. */
export async function runClosedLoop(send: SendRequest, concurrency: number, durationMs: number): Promise<LoadResult> {
	const recorder = new LatencyRecorder();
	const startMs = performance.now();
	const worker = async (): Promise<void> => {
		while (performance.now() - startMs < durationMs) {
			await recorder.record(send);
		}
	};

	await Promise.all(Array.from({length: concurrency}, async () => worker()));
	return recorder.result(startMs);
}

/** Generates an open-loop load: sends at a fixed rate regardless of response times, up to `maxOutstandingRequests` concurrent requests. */
export async function runOpenLoop(send: SendRequest, perSecond: number, durationMs: number): Promise<LoadResult> {
	const recorder = new LatencyRecorder();
	const outstanding = new Set<Promise<void>>();
	const startMs = performance.now();
	let sent = 0;
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs = performance.now() - startMs) {
		while (sent < elapsedMs * perSecond / 1000 && outstanding.size < maxOutstandingRequests) {
			sent++;
			const pending = recorder.record(send, elapsedMs < openLoopWarmUpMs ? recorder.warmUpLatency : recorder.latency);
			outstanding.add(pending);
			void pending.finally(() => outstanding.delete(pending)); // eslint-disable-line promise/prefer-await-to-then -- the loop must not wait for it
		}

		await sleep(1);
	}

	await Promise.all(outstanding);
	return recorder.result(startMs);
}
