/** Benchmarks the cost of an entry process per request, per stream and per reply token. Latencies are compared with those of direct calls to the test doubles in the same run. */
import {setMaxListeners} from 'node:events';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {roundToThousandths, runBenchGroup} from './bench-group.js';
import type {BenchResult} from './bench-group.js';
import {
	percentileMs, readProcessUsage, runClosedLoop, runOpenLoop,
} from './load-generator.js';
import type {LoadResult, SendRequest} from './load-generator.js';
import {readSseData} from './sse.js';
import {System} from './system.js';

const entryVm = 'entry-1';
const streamEngines = ['stream-decode-1', 'stream-decode-2', 'stream-decode-3', 'stream-decode-4'] as const;
const tokenEngines = ['token-decode-1', 'token-decode-2', 'token-decode-3', 'token-decode-4'] as const;
const prefillEngines = ['token-prefill-1', 'token-prefill-2'] as const;
const bytesPerMegabyte = 1e6;
const loadPhaseMs = 4000;
const plainConcurrency = 64;
/** Number of concurrent model requests. With 64, the two fake prefill engines would refuse prefills, and the router would then eject these engines. */
const modelConcurrency = 32;
const idleMeasurementMs = 3000;
/** Delay before the idle measurement, in milliseconds. It lets garbage collection and timers of the preparation finish. */
const settleDelayMs = 1500;
const streamMeasurementMs = 4000;
/** Time after which no further stream is opened, in milliseconds. */
const openTimeoutMs = 12_000;
/** Number of streams that are being opened at the same time. */
const openConcurrency = 25;
/** Maximum number of reply tokens per stream. It is large enough that no stream ends during the measurement. */
const maxStreamTokens = 4000;
/** Targets for the latency that the entry process adds to direct calls, at the median and the 99th percentile, in milliseconds. */
const targets = {targetMedianMs: 3, targetP99Ms: 10};

const configuration = `
profiles:
  bench: {maxWait: 10s, latency: {firstToken: 20s, betweenTokens: 20s}, timeout: 60s, concurrency: 10000, upstreamConcurrency: 10000}
tenants:
  caller: {rate: 1000000000 tokens/s, burst: 1000000000}
services:
  token: {kind: model, profile: bench, model: m1, maxTokens: 8}
  stream: {kind: model, profile: bench, model: m2, maxTokens: ${maxStreamTokens}}
  desk:
    kind: plain
    profile: bench
    routes:
      - {methods: [GET], path: /lookups, idempotent: true}
upstreams:
${prefillEngines.map(name => `  ${name}: {service: token, address: 127.0.0.1:1, zone: z1, role: prefill, slots: 1000, cacheBlocks: 100000}`).join('\n')}
${tokenEngines.map(name => `  ${name}: {service: token, address: 127.0.0.1:1, zone: z1, role: decode, slots: 1000, cacheBlocks: 100000}`).join('\n')}
  stream-prefill-1: {service: stream, address: 127.0.0.1:1, zone: z1, role: prefill, slots: 1000, cacheBlocks: 100000}
${streamEngines.map(name => `  ${name}: {service: stream, address: 127.0.0.1:1, zone: z1, role: decode, slots: 400, cacheBlocks: 100000}`).join('\n')}
  desk-1: {service: desk, address: 127.0.0.1:1, zone: z1, role: plain}
`;

function doubleArguments(upstream: string): readonly string[] {
	if (upstream.startsWith('desk')) {
		return ['--service-ms', '0', '--concurrency', '1000'];
	}

	// With longer decode steps, the wait for a step would mask the latency that the entry process adds.
	return ['--prefill-token-ms', '0.001', ...(upstream.startsWith('token') ? ['--decode-step-ms', '1'] : [])];
}

class EntryBench {
	private readonly _agent = new Agent({connections: 4000, pipelining: 1});
	private _key = '';
	private _sentCount = 0;
	private _idleResidentBytes = Number.NaN;

	constructor(private readonly _system: System) {}

	async prepare(): Promise<void> {
		const {key} = await this._system.issueKey('caller');
		this._key = key;
		// Warm up the JIT compiler and the connection pools.
		await runClosedLoop(this.sendLookup, plainConcurrency, 1000);
		await runClosedLoop(this.sendModelRequest, modelConcurrency, 1000);
	}

	async dispose(): Promise<void> {
		await this._agent.destroy();
	}

	async measureIdle(): Promise<Readonly<Record<string, unknown>>> {
		await sleep(settleDelayMs);
		const before = this._readUsage();
		await sleep(idleMeasurementMs);
		const after = this._readUsage();
		this._idleResidentBytes = after.residentBytes;
		return {
			residentMegabytes: roundToThousandths(after.residentBytes / bytesPerMegabyte), cpuShare: roundToThousandths((after.cpuMs - before.cpuMs) / (after.atMs - before.atMs)), streams: 0,
		};
	}

	async measurePlain(): Promise<Readonly<Record<string, unknown>>> {
		return this._compareWithDirect(this.sendLookup, this.sendDirectLookup, plainConcurrency);
	}

	async measureModel(): Promise<Readonly<Record<string, unknown>>> {
		return this._compareWithDirect(this.sendModelRequest, this.sendDirectModelRequest, modelConcurrency);
	}

	async measureStreams(count: number): Promise<Readonly<Record<string, unknown>>> {
		const usageBeforeStreams = this._readUsage();
		const abort = new AbortController();
		setMaxListeners(0, abort.signal);
		const progress = {
			open: 0, ended: 0, refused: 0, tokens: 0,
		};
		try {
			await this._openStreams(count, progress, abort.signal);
			const before = this._readUsage();
			const tokensBefore = progress.tokens;
			await sleep(streamMeasurementMs);
			const after = this._readUsage();
			const tokens = progress.tokens - tokensBefore;
			const cpuMs = after.cpuMs - before.cpuMs;
			return {
				streams: count,
				openAtEnd: progress.open - progress.ended,
				refused: progress.refused,
				tokensPerSecond: Math.round(tokens * 1000 / (after.atMs - before.atMs)),
				cpuShare: roundToThousandths(cpuMs / (after.atMs - before.atMs)),
				cpuMicrosecondsPerToken: roundToThousandths(cpuMs * 1000 / tokens),
				tokensPerSecondAndCore: Math.round(tokens * 1000 / cpuMs),
				residentMegabytes: roundToThousandths(after.residentBytes / bytesPerMegabyte),
				megabytesPer1000StreamsFromIdle: roundToThousandths((after.residentBytes - this._idleResidentBytes) / bytesPerMegabyte * 1000 / count),
				megabytesPer1000StreamsFromBefore: roundToThousandths((after.residentBytes - usageBeforeStreams.residentBytes) / bytesPerMegabyte * 1000 / count),
			};
		} finally {
			abort.abort();
		}
	}

	readonly sendLookup: SendRequest = async () => this._sendPlain(`http://${this._entryAddress}/s/desk/lookups?ref=r`, {authorization: `Bearer ${this._key}`});

	readonly sendDirectLookup: SendRequest = async () => this._sendPlain(`http://${this._doubleAddress('desk-1')}/lookups?ref=r`, {});

	readonly sendModelRequest: SendRequest = async () => {
		const startMs = performance.now();
		try {
			const res = await this._sendChat('token', 2);
			return await this._timeFirstToken(res, startMs);
		} catch (err) {
			return errorCode(err);
		}
	};

	/** Sends to the engines directly the calls that an entry process makes for one model request. */
	readonly sendDirectModelRequest: SendRequest = async () => {
		const startMs = performance.now();
		const requestId = `direct-${this._sentCount++}`;
		const owner = {vm: 'bench', incarnation: 1};
		const decode = this._doubleAddress(tokenEngines[this._sentCount % tokenEngines.length]!);
		const prefill = this._doubleAddress(prefillEngines[this._sentCount % prefillEngines.length]!);
		try {
			const prefilled = await this._post(prefill, '/v1/prefill', {
				requestId, owner, model: 'm1', prompt: 'bench', priority: 5,
			});
			const {handle} = await prefilled.body.json() as {handle: string};
			const imported = await this._post(decode, '/v1/kv/import', {
				requestId, owner, source: prefill, handle,
			});
			await imported.body.dump();
			const res = await this._post(decode, '/v1/decode', {
				requestId, owner, maxTokens: 2, after: 0,
			});
			return await this._timeFirstToken(res, startMs);
		} catch (err) {
			return errorCode(err);
		}
	};

	private get _entryAddress(): string {
		return this._system.cluster.plan(entryVm).listen.callers;
	}

	private _doubleAddress(double: string): string {
		return this._system.cluster.doubles.get(double)!.address;
	}

	/** Reads the 99th percentile of the entry process's event-loop delay from its metrics. */
	private async _readEventLoopDelayP99Ms(): Promise<number> {
		const text = await this._system.readMetrics(entryVm);
		return roundToThousandths(Number(/^nodejs_eventloop_lag_p99_seconds(?:{.*})? (\S+)$/m.exec(text)?.[1]) * 1000);
	}

	private _readUsage() {
		return readProcessUsage(this._system.cluster.pid(entryVm));
	}

	private async _sendPlain(url: string, headers: Record<string, string>): Promise<number | string> {
		const startMs = performance.now();
		try {
			const {statusCode, body} = await request(url, {dispatcher: this._agent, headers});
			const text = await body.text();
			return statusCode === 200 ? performance.now() - startMs : problemCode(text, statusCode);
		} catch (err) {
			return errorCode(err);
		}
	}

	private async _post(address: string, path: string, body: unknown) {
		return request(`http://${address}${path}`, {method: 'POST', dispatcher: this._agent, body: JSON.stringify(body)});
	}

	private async _sendChat(model: string, maxTokens: number, signal?: AbortSignal) {
		return request(`http://${this._entryAddress}/v1/chat/completions`, {
			method: 'POST',
			dispatcher: this._agent,
			headers: {authorization: `Bearer ${this._key}`, 'content-type': 'application/json'},
			body: JSON.stringify({
				model, stream: true, max_tokens: maxTokens, messages: [{role: 'user', content: 'bench'}], // eslint-disable-line @typescript-eslint/naming-convention -- field of the chat API
			}),
			...(signal && {signal}),
		});
	}

	/** Returns the time to the first reply token in milliseconds, or an error code. Reads the whole body, so that the connection can be reused. */
	private async _timeFirstToken({statusCode, body}: Awaited<ReturnType<typeof request>>, startMs: number): Promise<number | string> {
		if (statusCode !== 200) {
			return problemCode(await body.text(), statusCode);
		}

		let firstMs: number | undefined;
		for await (const data of readSseData(body)) {
			if (data !== '[DONE]' && hasToken(data)) {
				firstMs ??= performance.now() - startMs;
			}
		}

		return firstMs ?? 'no-token';
	}

	/** Measures the maximum throughput through the entry process, then the latency at half of that rate, both through the entry process and with direct calls to the test doubles. */
	private async _compareWithDirect(through: SendRequest, direct: SendRequest, underWay: number): Promise<Readonly<Record<string, unknown>>> {
		const before = this._readUsage();
		const closedLoop = await runClosedLoop(through, underWay, loadPhaseMs);
		const after = this._readUsage();
		const rate = closedLoop.perSecond / 2;
		// Alternating between direct calls and calls through the entry process spreads changes in the machine's load over both.
		const callerDelay = monitorEventLoopDelay({resolution: 5});
		callerDelay.enable();
		const halves: Array<{direct: LoadResult; through: LoadResult}> = [];
		for (let half = 0; half < 2; half++) {
			halves.push({direct: await runOpenLoop(direct, rate, loadPhaseMs / 2), through: await runOpenLoop(through, rate, loadPhaseMs / 2)});
		}

		callerDelay.disable();
		const [first, second] = halves as [typeof halves[number], typeof halves[number]];
		first.direct.latency.add(second.direct.latency);
		first.through.latency.add(second.through.latency);
		first.direct.warmUpLatency.add(second.direct.warmUpLatency);
		first.through.warmUpLatency.add(second.through.warmUpLatency);
		const compareAt = (percentile: number) => ({
			through: percentileMs(first.through.latency, percentile),
			direct: percentileMs(first.direct.latency, percentile),
			added: roundToThousandths(percentileMs(first.through.latency, percentile) - percentileMs(first.direct.latency, percentile)),
		});
		const [median, p99] = [compareAt(50), compareAt(99)];
		return {
			underWay,
			requestsPerSecond: Math.round(closedLoop.perSecond),
			requestsPerSecondAndCore: Math.round(closedLoop.answered * 1000 / (after.cpuMs - before.cpuMs)),
			// A value below 1 means that another process, possibly this one, limited the throughput.
			cpuShareAtHighest: roundToThousandths((after.cpuMs - before.cpuMs) / (after.atMs - before.atMs)),
			pacedPerSecond: Math.round(rate),
			samples: first.through.latency.totalCount,
			failures: {highest: closedLoop.failures, through: halves.map(half => half.through.failures), direct: halves.map(half => half.direct.failures)},
			medianMs: median,
			p99Ms: p99,
			startP99Ms: {through: percentileMs(first.through.warmUpLatency, 99), direct: percentileMs(first.direct.warmUpLatency, 99)},
			// The timer resolution is 5 ms; any excess over it is delay in this process, which acts as the caller.
			callerDelayP99Ms: roundToThousandths(callerDelay.percentile(99) / 1e6),
			entryDelayP99Ms: await this._readEventLoopDelayP99Ms(),
			...targets,
			isOnTarget: median.added < targets.targetMedianMs && p99.added < targets.targetP99Ms,
		};
	}

	private async _openStreams(count: number, progress: {open: number; ended: number; refused: number; tokens: number}, signal: AbortSignal): Promise<void> {
		const deadlineMs = performance.now() + openTimeoutMs;
		let started = 0;
		const opener = async (): Promise<void> => {
			while (started < count && performance.now() < deadlineMs) {
				started++;
				const res = await this._sendChat('stream', maxStreamTokens, signal);
				if (res.statusCode === 200) {
					progress.open++;
					void this._countTokens(res, progress);
				} else {
					progress.refused++;
					await res.body.dump();
				}
			}
		};

		await Promise.all(Array.from({length: openConcurrency}, async () => opener()));
		if (progress.open < count) {
			throw new Error(`${progress.open} of ${count} streams opened, ${progress.refused} refused`);
		}

		// Wait for memory use and token rate to stabilize after the last stream has opened.
		await sleep(1000);
	}

	private async _countTokens({body}: Awaited<ReturnType<typeof request>>, progress: {ended: number; tokens: number}): Promise<void> {
		try {
			for await (const data of readSseData(body)) {
				progress.tokens += data !== '[DONE]' && hasToken(data) ? 1 : 0;
			}
		} catch {
			// The stream was aborted after the measurement or broke; it counts as ended in both cases.
		}

		progress.ended++;
	}
}

function errorCode(err: unknown): string {
	return (err as {code?: string}).code ?? String(err);
}

/** Returns the code in a problem document, or the HTTP status as text if the document has no code. */
function problemCode(text: string, status: number): string {
	return /"code":"([\w-]+)"/.exec(text)?.[1] ?? String(status);
}

/** Returns whether an event of the chat API or of an engine contains text. A string search is cheaper than parsing, which matters at thousands of reply tokens per second. */
function hasToken(data: string): boolean {
	return data.includes('"content":"') ? !data.includes('"content":""') : data.includes('"text":"');
}

/** Runs the benchmarks of latency, throughput, CPU time and memory of one entry process. */
export function benchEntry(): AsyncIterable<BenchResult> {
	return runBenchGroup({
		name: 'entry',
		scenarioNames: ['idle', 'plain', 'model', 'streams-100', 'streams-1000'],
		start: async () => System.start({
			name: 'bench-entry', controls: 3, entries: 1, zones: ['z1'], configuration, doubleArguments,
		}),
		async prepareScenarios(system) {
			const bench = new EntryBench(system);
			await bench.prepare();
			return [
				{name: 'idle', run: async () => bench.measureIdle()},
				{name: 'plain', run: async () => bench.measurePlain()},
				{name: 'model', run: async () => bench.measureModel()},
				{name: 'streams-100', run: async () => bench.measureStreams(100)},
				{name: 'streams-1000', run: async () => bench.measureStreams(1000)},
			];
		},
	});
}
