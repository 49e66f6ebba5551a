/** Times of changes, failovers and limits with three control and ten entry processes. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {parseDocument} from 'yaml';
import {runGroup, spread} from './bench-group.js';
import type {BenchResult} from './bench-group.js';
import {readUsage} from './bench-load.js';
import type {Usage} from './bench-load.js';
import {System} from './system.js';

type Answer = {readonly outcome: 'accepted' | 'refused' | 'broken'; readonly code: string; readonly sentMs: number; readonly endMs: number};
type Figures = Readonly<Record<string, unknown>>;
type Admitted = {readonly sentMs: number; readonly endMs: number; readonly cost: number};
/** Until the last request that any entry process accepted was sent, from when the withdrawal was accepted and requested; 0 when none was. */
type Withdrawal = {readonly sinceAcceptedMs: number; readonly sinceRequestMs: number};
type Admission = {readonly steady: readonly Answer[]; readonly greedy: readonly Answer[]};

const entryCount = 10;
const idleMs = 3000;
const changeRepeats = 5;
const withdrawalRepeats = 5;
const failoverRepeats = 5;
const admissionRepeats = 3;
const admissionMs = 6000;
const pollMs = 5;
/** Longest wait for one change, in milliseconds. */
const changeLimitMs = 8000;
/** Refusals in a row on one entry process after which a withdrawn key counts as withdrawn there. */
const refusalsToSettle = 10;
/** Of the tenant that the changes concern, in tokens per second. */
const callerRate = 1_000_000;
/** Of the steady and the greedy tenant, in tokens per second and tokens. */
const limit = {rate: 2000, burst: 2000};
/** The steady tenant sends 70% of its rate, so that lost portions of the killed process leave it within its rate. */
const steady = {path: '/small', cost: 2, perSecond: 700};
/** The greedy tenant asks for three times its rate. */
const greedy = {path: '/large', cost: 20, perSecond: 300};
/** Codes of the refusal of a key that was withdrawn before the request or during it. */
const withdrawnCodes: ReadonlySet<string> = new Set(['unknown-key', 'key-withdrawn']);
const targetMs = 3000;
const targetFailoverMs = 2000;
const targetWrongfulShare = 0.001;

const configuration = `
profiles:
  bench: {maxWait: 1s, latency: {firstToken: 2s}, timeout: 10s, concurrency: 10000, upstreamConcurrency: 10000}
tenants:
  caller: {rate: ${callerRate} tokens/s, burst: 1000000}
  steady: {rate: ${limit.rate} tokens/s, burst: ${limit.burst}}
  greedy: {rate: ${limit.rate} tokens/s, burst: ${limit.burst}}
services:
  desk:
    kind: plain
    profile: bench
    routes:
      - {methods: [GET], path: /lookups, idempotent: true}
      - {methods: [GET], path: ${steady.path}, idempotent: true, cost: ${steady.cost}}
      - {methods: [GET], path: ${greedy.path}, idempotent: true, cost: ${greedy.cost}}
upstreams:
  desk-1: {service: desk, address: 127.0.0.1:1, zone: z1, role: plain}
  desk-2: {service: desk, address: 127.0.0.1:1, zone: z2, role: plain}
`;

function withCallerRate(text: string, tokensPerSecond: number): string {
	const document = parseDocument(text);
	document.setIn(['tenants', 'caller', 'rate'], `${tokensPerSecond} tokens/s`);
	return String(document);
}

/** Tokens accepted beyond `burst + rate * t` in the worst window; each request was admitted between sending and answer. */
export function excessTokens(admitted: readonly Admitted[], limit: {readonly rate: number; readonly burst: number}): number {
	const byEnd = [...admitted].sort((a, b) => a.endMs - b.endMs);
	let worst = 0;
	for (const {sentMs: fromMs} of admitted) {
		let tokens = 0;
		for (const {sentMs, endMs, cost} of byEnd) {
			if (sentMs >= fromMs) {
				tokens += cost;
				worst = Math.max(worst, tokens - limit.burst - (limit.rate * (endMs - fromMs) / 1000));
			}
		}
	}

	return worst;
}

function countCodes(answers: readonly Answer[]): Readonly<Record<string, number>> {
	const counts: Record<string, number> = {};
	for (const {code} of answers) {
		counts[code] = (counts[code] ?? 0) + 1;
	}

	return counts;
}

function toAdmitted(answers: readonly Answer[], cost: number): Admitted[] {
	return answers.filter(({outcome}) => outcome === 'accepted').map(({sentMs, endMs}) => ({sentMs, endMs, cost}));
}

class ControlBench {
	private readonly _agent = new Agent({connections: 2000, pipelining: 1});
	private readonly _entries: readonly string[];
	private readonly _controls: readonly string[];
	private _version = 1;
	private _changes = 0;

	constructor(private readonly _system: System) {
		const named = (wanted: string): string[] => _system.cluster.plans.filter(({role}) => role === wanted).map(({vm}) => vm);
		this._entries = named('entry');
		this._controls = named('control');
	}

	async idle(): Promise<Figures> {
		await sleep(idleMs / 2);
		const vms = [...this._entries, ...this._controls];
		const before = vms.map(vm => this._usage(vm));
		await sleep(idleMs);
		const after = vms.map(vm => this._usage(vm));
		const per = (from: number, to: number, figure: (usage: Usage) => number) => spread(after.slice(from, to).map((usage, index) => {
			const earlier = before[from + index]!;
			return (figure(usage) - figure(earlier)) * 1000 / (usage.atMs - earlier.atMs);
		}));
		return {
			entryCpuShare: per(0, entryCount, ({cpuMs}) => cpuMs / 1000),
			entryIoBytesPerSecond: per(0, entryCount, ({ioBytes}) => ioBytes),
			controlCpuShare: per(entryCount, vms.length, ({cpuMs}) => cpuMs / 1000),
			controlIoBytesPerSecond: per(entryCount, vms.length, ({ioBytes}) => ioBytes),
			note: 'no counter for bytes between processes exists; the bytes are those of all read and write calls',
		};
	}

	async configuration(): Promise<Figures> {
		const times: number[] = [];
		for (let repeat = 0; repeat < changeRepeats; repeat++) {
			const version = await this._change();
			const acceptedMs = performance.now();
			await Promise.all(this._entries.map(async vm => this._waitVersion(vm, version)));
			times.push(performance.now() - acceptedMs);
		}

		return {inForceMs: spread(times), targetMs, isOnTarget: Math.max(...times) < targetMs};
	}

	async withdrawal(): Promise<Figures> {
		const keys: Array<{keyId: string; key: string}> = [];
		for (let repeat = 0; repeat < withdrawalRepeats; repeat++) {
			keys.push(await this._system.issueKey('caller'));
		}

		const withdrawals: Withdrawal[] = [];
		for (const {keyId, key} of keys) {
			withdrawals.push(await this._withdraw(keyId, key));
		}

		const times = withdrawals.map(({sinceAcceptedMs}) => sinceAcceptedMs);
		return {
			lastAcceptedMs: spread(times), lastAcceptedSinceRequestMs: spread(withdrawals.map(({sinceRequestMs}) => sinceRequestMs)), targetMs, isOnTarget: Math.max(...times) < targetMs,
		};
	}

	async failover(): Promise<Figures> {
		const times: number[] = [];
		for (let repeat = 0; repeat < failoverRepeats; repeat++) {
			const leader = await this._system.leader();
			this._system.cluster.signal(leader, 'SIGKILL');
			const killedMs = performance.now();
			await this._change();
			times.push(performance.now() - killedMs);
			this._system.cluster.startVm(leader);
			await this._waitOk(leader);
			// A restarted member first catches up, so that the next leader is not the only one with the whole log.
			await sleep(500);
		}

		return {withoutLeaderMs: spread(times), targetMs: targetFailoverMs, isOnTarget: Math.max(...times) < targetFailoverMs};
	}

	async admission(): Promise<Figures> {
		const keys = {steady: await this._system.issueKey('steady'), greedy: await this._system.issueKey('greedy')};
		const runs: Admission[] = [];
		for (let repeat = 0; repeat < admissionRepeats; repeat++) {
			const killed = this._entries[repeat]!;
			const kill = (async () => {
				await sleep(admissionMs / 2);
				this._system.cluster.signal(killed, 'SIGKILL');
			})();
			const [steadyAnswers, greedyAnswers] = await Promise.all([this._sendSkewed(keys.steady.key, steady), this._sendSkewed(keys.greedy.key, greedy)]);
			await kill;
			runs.push({steady: steadyAnswers, greedy: greedyAnswers});
			this._system.cluster.startVm(killed);
			await this._waitOk(killed);
		}

		const excess = runs.map(run => Math.max(excessTokens(toAdmitted(run.steady, steady.cost), limit), excessTokens(toAdmitted(run.greedy, greedy.cost), limit)));
		const wrongful = runs.map(run => run.steady.filter(({outcome}) => outcome === 'refused').length / run.steady.length);
		return {
			overAdmittedTokens: spread(excess),
			targetOverAdmittedTokens: 0,
			wrongfulRefusalShare: {...spread(wrongful.map(share => share * 1000)), unit: 'per thousand'},
			targetWrongfulPerThousand: targetWrongfulShare * 1000,
			steadyRequests: runs.map(run => run.steady.length),
			steadyCodes: runs.map(run => countCodes(run.steady)),
			greedyCodes: runs.map(run => countCodes(run.greedy)),
			note: 'over-admission counts answered requests; those whose connection broke are neither admitted nor refused here',
			isOnTarget: Math.max(...excess) === 0 && Math.max(...wrongful) < targetWrongfulShare,
		};
	}

	private _usage(vm: string): Usage {
		return readUsage(this._system.cluster.pid(vm));
	}

	/** Applies a changed configuration at any control VM that answers, with one change id over all attempts; resolves with its version. */
	private async _change(): Promise<number> {
		const changeId = `bench-${this._changes++}`;
		const source = withCallerRate(this._system.configuration, callerRate + this._changes);
		const deadlineMs = performance.now() + changeLimitMs;
		let last = '';
		while (performance.now() < deadlineMs) {
			for (const vm of this._controls.filter(control => this._system.cluster.isRunning(control))) {
				try {
					const {status, body} = await this._system.callOperatorApi(vm, 'PUT', '/v1/config', {changeId, expectedVersion: this._version, source});
					last = `${status} ${JSON.stringify(body)}`;
					if (status === 200) {
						this._version = body.version as number;
						return this._version;
					}
				} catch (err) {
					last = String(err);
				}
			}

			await sleep(pollMs);
		}

		throw new Error(`no change accepted within ${changeLimitMs} ms: ${last}`);
	}

	private async _waitVersion(vm: string, version: number): Promise<void> {
		const deadlineMs = performance.now() + changeLimitMs;
		while (performance.now() < deadlineMs) {
			const {body} = await this._system.callOperatorApi(vm, 'GET', '/state');
			if ((body.access as {version?: number}).version! >= version) {
				return;
			}

			await sleep(pollMs);
		}

		throw new Error(`${vm} has not version ${version} after ${changeLimitMs} ms`);
	}

	private async _waitOk(vm: string): Promise<void> {
		await this._system.cluster.waitReady([vm]);
	}

	/** Withdraws a key that every entry process accepts, while requests with it go on everywhere. */
	private async _withdraw(keyId: string, key: string): Promise<Withdrawal> {
		const progress = {lastSentMs: 0, isAccepted: false, accepting: new Set<string>()};
		const deadlineMs = performance.now() + changeLimitMs;
		const probe = async (vm: string): Promise<void> => {
			let refused = 0;
			while (refused < refusalsToSettle && performance.now() < deadlineMs) {
				const answer = await this._send(vm, key, '/lookups');
				if (answer.outcome === 'accepted') {
					progress.lastSentMs = Math.max(progress.lastSentMs, answer.sentMs);
					progress.accepting.add(vm);
				}

				refused = progress.isAccepted && withdrawnCodes.has(answer.code) ? refused + 1 : 0;
				await sleep(pollMs);
			}
		};

		const probes = this._entries.map(async vm => probe(vm));
		await sleep(200);
		const acceptingBefore = progress.accepting.size;
		const requestedMs = performance.now();
		const {status} = await this._system.callOperatorApi(this._controls[0]!, 'DELETE', `/v1/keys/${keyId}?changeId=bench-withdraw-${keyId}`);
		if (status !== 200) {
			throw new Error(`the withdrawal was answered with ${status}`);
		}

		const acceptedMs = performance.now();
		progress.isAccepted = true;
		await Promise.all(probes);
		// A key that was refused before would make any withdrawal look immediate.
		if (acceptingBefore < this._entries.length || performance.now() >= deadlineMs) {
			throw new Error(`key accepted on ${acceptingBefore} of ${this._entries.length} entry processes before, withdrawn after ${performance.now() - acceptedMs} ms`);
		}

		return {sinceAcceptedMs: Math.max(0, progress.lastSentMs - acceptedMs), sinceRequestMs: Math.max(0, progress.lastSentMs - requestedMs)};
	}

	/** Sends at a fixed rate; entry process number n gets a share in proportion to 1/n. */
	private async _sendSkewed(key: string, {path, perSecond}: {path: string; perSecond: number}): Promise<Answer[]> {
		const weights = this._entries.map((_, index) => 1 / (index + 1));
		const total = weights.reduce((sum, weight) => sum + weight, 0);
		const running = (): string[] => this._entries.filter(vm => this._system.cluster.isRunning(vm));
		// Low-discrepancy numbers give the same skew in every repeat.
		const pick = (n: number): string => {
			let point = (n * 0.618_033_988_749_895 % 1) * total;
			const index = weights.findIndex(weight => {
				point -= weight;
				return point < 0;
			});
			const vm = this._entries[Math.max(0, index)]!;
			return this._system.cluster.isRunning(vm) ? vm : running()[n % running().length]!;
		};

		const sends: Array<Promise<Answer>> = [];
		const startMs = performance.now();
		for (let elapsedMs = 0; elapsedMs < admissionMs; elapsedMs = performance.now() - startMs) {
			while (sends.length < elapsedMs * perSecond / 1000) {
				sends.push(this._send(pick(sends.length), key, path));
			}

			await sleep(2);
		}

		return Promise.all(sends);
	}

	private async _send(vm: string, key: string, path: string): Promise<Answer> {
		const sentMs = performance.now();
		try {
			const {statusCode, body} = await request(`http://${this._system.cluster.plan(vm).listen.callers}/s/desk${path}`, {dispatcher: this._agent, headers: {authorization: `Bearer ${key}`}});
			const text = await body.text();
			const code = statusCode === 200 ? 'accepted' : (/"code":"([\w-]+)"/.exec(text)?.[1] ?? String(statusCode));
			return {
				outcome: statusCode === 200 ? 'accepted' : 'refused', code, sentMs, endMs: performance.now(),
			};
		} catch (err) {
			return {
				outcome: 'broken', code: (err as {code?: string}).code ?? String(err), sentMs, endMs: performance.now(),
			};
		}
	}
}

/** Times of the control processes and of what they decide. */
export function benchControl(): AsyncIterable<BenchResult> {
	return runGroup({
		name: 'control',
		names: ['idle', 'configuration', 'withdrawal', 'failover', 'admission'],
		start: async () => System.start({
			name: 'bench-control',
			controls: 3,
			entries: entryCount,
			zones: ['z1', 'z2', 'z3'],
			configuration,
			doubleArguments: () => ['--service-ms', '1', '--concurrency', '1000'],
		}),
		async scenarios(system) {
			const bench = new ControlBench(system);
			return [
				{name: 'idle', run: async () => bench.idle()},
				{name: 'configuration', run: async () => bench.configuration()},
				{name: 'withdrawal', run: async () => bench.withdrawal()},
				{name: 'failover', run: async () => bench.failover()},
				{name: 'admission', run: async () => bench.admission()},
			];
		},
	});
}
