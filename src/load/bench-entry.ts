/** Cost of the entry process per request, stream and token, against the test doubles called directly in the same run. */
import {setMaxListeners} from 'node:events';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {round, runGroup} from './bench-group.js';
import type {BenchResult} from './bench-group.js';
import {
	percentileMs, readUsage, sendClosed, sendPaced,
} from './bench-load.js';
import type {LoadResult, SendOnce} from './bench-load.js';
import {sseData} from './sse.js';
import {System} from './system.js';

const vm = 'entry-1';
const streamEngines = ['stream-decode-1', 'stream-decode-2', 'stream-decode-3', 'stream-decode-4'] as const;
const tokenEngines = ['token-decode-1', 'token-decode-2', 'token-decode-3', 'token-decode-4'] as const;
const prefillEngines = ['token-prefill-1', 'token-prefill-2'] as const;
const bytesPerMegabyte = 1e6;
const phaseMs = 4000;
const concurrency = 64;
/** The two fake engines refuse prefills when 64 requests are under way, and the router then ejects them. */
const modelConcurrency = 32;
const idleMs = 3000;
/** Garbage collection and timers of the preparation end before the idle figures are taken. */
const settleMs = 1500;
const streamMeasureMs = 4000;
const openLimitMs = 12_000;
/** Streams that are being opened at once. */
const openingAtOnce = 25;
/** Long enough that no stream ends while it is measured. */
const streamTokens = 4000;
const targets = {targetMedianMs: 3, targetP99Ms: 10};

const configuration = `
profiles:
  bench: {maxWait: 10s, latency: {firstToken: 20s, betweenTokens: 20s}, timeout: 60s, concurrency: 10000, upstreamConcurrency: 10000}
tenants:
  caller: {rate: 1000000000 tokens/s, burst: 1000000000}
services:
  token: {kind: model, profile: bench, model: m1, maxTokens: 8}
  stream: {kind: model, profile: bench, model: m2, maxTokens: ${streamTokens}}
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

	// Steps of 1 ms keep the wait for a decode step from hiding the time of the entry process.
	return ['--prefill-token-ms', '0.001', ...(upstream.startsWith('token') ? ['--decode-step-ms', '1'] : [])];
}

class EntryBench {
	private readonly _agent = new Agent({connections: 4000, pipelining: 1});
	private _key = '';
	private _sent = 0;
	private _idleBytes = Number.NaN;

	constructor(private readonly _system: System) {}

	async prepare(): Promise<void> {
		const {key} = await this._system.issueKey('caller');
		this._key = key;
		// The first requests compile code and open connections.
		await sendClosed(this.lookup, concurrency, 1000);
		await sendClosed(this.firstToken, modelConcurrency, 1000);
	}

	async dispose(): Promise<void> {
		await this._agent.destroy();
	}

	async idle(): Promise<Readonly<Record<string, unknown>>> {
		await sleep(settleMs);
		const before = this._usage();
		await sleep(idleMs);
		const after = this._usage();
		this._idleBytes = after.residentBytes;
		return {
			residentMegabytes: round(after.residentBytes / bytesPerMegabyte), cpuShare: round((after.cpuMs - before.cpuMs) / (after.atMs - before.atMs)), streams: 0,
		};
	}

	async plain(): Promise<Readonly<Record<string, unknown>>> {
		return this._compare(this.lookup, this.directLookup, concurrency);
	}

	async model(): Promise<Readonly<Record<string, unknown>>> {
		return this._compare(this.firstToken, this.directFirstToken, modelConcurrency);
	}

	async streams(count: number): Promise<Readonly<Record<string, unknown>>> {
		const earlier = this._usage();
		const abort = new AbortController();
		setMaxListeners(0, abort.signal);
		const progress = {
			open: 0, ended: 0, refused: 0, tokens: 0,
		};
		try {
			await this._open(count, progress, abort.signal);
			const before = this._usage();
			const tokensBefore = progress.tokens;
			await sleep(streamMeasureMs);
			const after = this._usage();
			const tokens = progress.tokens - tokensBefore;
			const cpuMs = after.cpuMs - before.cpuMs;
			return {
				streams: count,
				openAtEnd: progress.open - progress.ended,
				refused: progress.refused,
				tokensPerSecond: Math.round(tokens * 1000 / (after.atMs - before.atMs)),
				cpuShare: round(cpuMs / (after.atMs - before.atMs)),
				cpuMicrosecondsPerToken: round(cpuMs * 1000 / tokens),
				tokensPerSecondAndCore: Math.round(tokens * 1000 / cpuMs),
				residentMegabytes: round(after.residentBytes / bytesPerMegabyte),
				megabytesPer1000StreamsFromIdle: round((after.residentBytes - this._idleBytes) / bytesPerMegabyte * 1000 / count),
				megabytesPer1000StreamsFromBefore: round((after.residentBytes - earlier.residentBytes) / bytesPerMegabyte * 1000 / count),
			};
		} finally {
			abort.abort();
		}
	}

	readonly lookup: SendOnce = async () => this._plain(`http://${this._entry}/s/desk/lookups?ref=r`, {authorization: `Bearer ${this._key}`});

	readonly directLookup: SendOnce = async () => this._plain(`http://${this._address('desk-1')}/lookups?ref=r`, {});

	readonly firstToken: SendOnce = async () => {
		const startMs = performance.now();
		try {
			const res = await this._chat('token', 2);
			return await this._firstEvent(res, startMs);
		} catch (err) {
			return codeOf(err);
		}
	};

	/** The calls that an entry process makes for one model request, sent to the engines without it. */
	readonly directFirstToken: SendOnce = async () => {
		const startMs = performance.now();
		const requestId = `direct-${this._sent++}`;
		const owner = {vm: 'bench', incarnation: 1};
		const decode = this._address(tokenEngines[this._sent % tokenEngines.length]!);
		const prefill = this._address(prefillEngines[this._sent % prefillEngines.length]!);
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
			return await this._firstEvent(res, startMs);
		} catch (err) {
			return codeOf(err);
		}
	};

	private get _entry(): string {
		return this._system.cluster.plan(vm).listen.callers;
	}

	private _address(double: string): string {
		return this._system.cluster.doubles.get(double)!.address;
	}

	/** Delay of the entry process's event loop, as its metrics show it. */
	private async _eventLoopDelayP99Ms(): Promise<number> {
		const text = await this._system.metrics(vm);
		return round(Number(/^nodejs_eventloop_lag_p99_seconds(?:{.*})? (\S+)$/m.exec(text)?.[1]) * 1000);
	}

	private _usage() {
		return readUsage(this._system.cluster.pid(vm));
	}

	private async _plain(url: string, headers: Record<string, string>): Promise<number | string> {
		const startMs = performance.now();
		try {
			const {statusCode, body} = await request(url, {dispatcher: this._agent, headers});
			const text = await body.text();
			return statusCode === 200 ? performance.now() - startMs : problemCode(text, statusCode);
		} catch (err) {
			return codeOf(err);
		}
	}

	private async _post(address: string, path: string, body: unknown) {
		return request(`http://${address}${path}`, {method: 'POST', dispatcher: this._agent, body: JSON.stringify(body)});
	}

	private async _chat(model: string, maxTokens: number, signal?: AbortSignal) {
		return request(`http://${this._entry}/v1/chat/completions`, {
			method: 'POST',
			dispatcher: this._agent,
			headers: {authorization: `Bearer ${this._key}`, 'content-type': 'application/json'},
			body: JSON.stringify({
				model, stream: true, max_tokens: maxTokens, messages: [{role: 'user', content: 'bench'}], // eslint-disable-line @typescript-eslint/naming-convention -- field of the chat API
			}),
			...(signal && {signal}),
		});
	}

	/** Time until the first event; the rest is read so that the connection can be used again. */
	private async _firstEvent({statusCode, body}: Awaited<ReturnType<typeof request>>, startMs: number): Promise<number | string> {
		if (statusCode !== 200) {
			return problemCode(await body.text(), statusCode);
		}

		let firstMs: number | undefined;
		for await (const data of sseData(body)) {
			if (data !== '[DONE]' && hasToken(data)) {
				firstMs ??= performance.now() - startMs;
			}
		}

		return firstMs ?? 'no-token';
	}

	/** Highest throughput by the entry process, then latency at half of it through the entry process and directly. */
	private async _compare(through: SendOnce, direct: SendOnce, underWay: number): Promise<Readonly<Record<string, unknown>>> {
		const before = this._usage();
		const highest = await sendClosed(through, underWay, phaseMs);
		const after = this._usage();
		const rate = highest.perSecond / 2;
		// Halves in turn, so that a change of the machine's load falls on both.
		const delay = monitorEventLoopDelay({resolution: 5});
		delay.enable();
		const halves: Array<{direct: LoadResult; through: LoadResult}> = [];
		for (let half = 0; half < 2; half++) {
			halves.push({direct: await sendPaced(direct, rate, phaseMs / 2), through: await sendPaced(through, rate, phaseMs / 2)});
		}

		delay.disable();
		const [first, second] = halves as [typeof halves[number], typeof halves[number]];
		first.direct.latency.add(second.direct.latency);
		first.through.latency.add(second.through.latency);
		first.direct.startLatency.add(second.direct.startLatency);
		first.through.startLatency.add(second.through.startLatency);
		const figures = (percentile: number) => ({
			through: percentileMs(first.through.latency, percentile),
			direct: percentileMs(first.direct.latency, percentile),
			added: round(percentileMs(first.through.latency, percentile) - percentileMs(first.direct.latency, percentile)),
		});
		const [median, p99] = [figures(50), figures(99)];
		return {
			underWay,
			requestsPerSecond: Math.round(highest.perSecond),
			requestsPerSecondAndCore: Math.round(highest.answered * 1000 / (after.cpuMs - before.cpuMs)),
			// Below 1, another process or this one limited the throughput.
			cpuShareAtHighest: round((after.cpuMs - before.cpuMs) / (after.atMs - before.atMs)),
			pacedPerSecond: Math.round(rate),
			samples: first.through.latency.totalCount,
			failures: {highest: highest.failures, through: halves.map(half => half.through.failures), direct: halves.map(half => half.direct.failures)},
			medianMs: median,
			p99Ms: p99,
			startP99Ms: {through: percentileMs(first.through.startLatency, 99), direct: percentileMs(first.direct.startLatency, 99)},
			// Above the 5 ms of its timer, this is the time that the caller itself was late.
			callerDelayP99Ms: round(delay.percentile(99) / 1e6),
			entryDelayP99Ms: await this._eventLoopDelayP99Ms(),
			...targets,
			isOnTarget: median.added < targets.targetMedianMs && p99.added < targets.targetP99Ms,
		};
	}

	private async _open(count: number, progress: {open: number; ended: number; refused: number; tokens: number}, signal: AbortSignal): Promise<void> {
		const deadlineMs = performance.now() + openLimitMs;
		let started = 0;
		const opener = async (): Promise<void> => {
			while (started < count && performance.now() < deadlineMs) {
				started++;
				const res = await this._chat('stream', streamTokens, signal);
				if (res.statusCode === 200) {
					progress.open++;
					void this._follow(res, progress);
				} else {
					progress.refused++;
					await res.body.dump();
				}
			}
		};

		await Promise.all(Array.from({length: openingAtOnce}, async () => opener()));
		if (progress.open < count) {
			throw new Error(`${progress.open} of ${count} streams opened, ${progress.refused} refused`);
		}

		// Memory and pace settle after the last stream has opened.
		await sleep(1000);
	}

	private async _follow({body}: Awaited<ReturnType<typeof request>>, progress: {ended: number; tokens: number}): Promise<void> {
		try {
			for await (const data of sseData(body)) {
				progress.tokens += data !== '[DONE]' && hasToken(data) ? 1 : 0;
			}
		} catch {
			// Aborted at the end of the measurement, or broken; either way the stream counts as ended.
		}

		progress.ended++;
	}
}

function codeOf(err: unknown): string {
	return (err as {code?: string}).code ?? String(err);
}

/** Code of a problem document, or the status. */
function problemCode(text: string, status: number): string {
	return /"code":"([\w-]+)"/.exec(text)?.[1] ?? String(status);
}

/** Whether an event of the chat API or of an engine carries text; a search is cheaper than parsing for thousands of tokens per second. */
function hasToken(data: string): boolean {
	return data.includes('"content":"') ? !data.includes('"content":""') : data.includes('"text":"');
}

/** Latency, throughput, CPU time and memory of one entry process. */
export function benchEntry(): AsyncIterable<BenchResult> {
	return runGroup({
		name: 'entry',
		names: ['idle', 'plain', 'model', 'streams-100', 'streams-1000'],
		start: async () => System.start({
			name: 'bench-entry', controls: 3, entries: 1, zones: ['z1'], configuration, doubleArguments,
		}),
		async scenarios(system) {
			const bench = new EntryBench(system);
			await bench.prepare();
			return [
				{name: 'idle', run: async () => bench.idle()},
				{name: 'plain', run: async () => bench.plain()},
				{name: 'model', run: async () => bench.model()},
				{name: 'streams-100', run: async () => bench.streams(100)},
				{name: 'streams-1000', run: async () => bench.streams(1000)},
			];
		},
	});
}
