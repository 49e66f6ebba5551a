/** Benchmarks configuration changes, key withdrawal, leader failover and rate limiting with three control and ten entry processes. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {parseDocument} from 'yaml';
import {runBenchGroup, summarize} from './bench-group.js';
import type {BenchResult} from './bench-group.js';
import {readProcessUsage} from './load-generator.js';
import type {ProcessUsage} from './load-generator.js';
import {System} from './system.js';

type RequestResult = {readonly outcome: 'accepted' | 'refused' | 'broken'; readonly code: string; readonly sentMs: number; readonly endMs: number};
type Measurements = Readonly<Record<string, unknown>>;
type AdmittedRequest = {readonly sentMs: number; readonly endMs: number; readonly cost: number};
/** Delay until a withdrawn key was last accepted, in milliseconds: the time at which the last request accepted by any entry process was sent, counted from the acceptance of the withdrawal and from the request for it. It is 0 if that time is earlier. */
type WithdrawalTimes = {readonly sinceAcceptedMs: number; readonly sinceRequestMs: number};
type AdmissionRun = {readonly steady: readonly RequestResult[]; readonly greedy: readonly RequestResult[]};

const entryCount = 10;
const idleMeasurementMs = 3000;
const changeRepeats = 5;
const withdrawalRepeats = 5;
const failoverRepeats = 5;
const admissionRepeats = 3;
const admissionRunMs = 6000;
const pollIntervalMs = 5;
const changeTimeoutMs = 8000;
/** Number of consecutive refusals after which a key counts as withdrawn on an entry process. */
const refusalsUntilWithdrawn = 10;
/** Initial rate of the customer `caller`, in tokens per second. Each configuration change raises this rate. */
const callerTokensPerSecond = 1_000_000;
/** Rate in tokens per second and burst in tokens of the steady customer and of the greedy customer. */
const customerLimit = {rate: 2000, burst: 2000};
/** Traffic of the steady customer, with the cost of a request in tokens and the number of requests per second. It is 70% of the customer's rate, so that it stays within this rate even if the tokens granted to the killed entry process are lost. */
const steadyTraffic = {path: '/small', cost: 2, perSecond: 700};
/** Traffic of the greedy customer, with the cost of a request in tokens and the number of requests per second. It is three times the customer's rate. */
const greedyTraffic = {path: '/large', cost: 20, perSecond: 300};
/** Refusal codes for a key that was withdrawn before or during the request. */
const withdrawnCodes: ReadonlySet<string> = new Set(['unknown-key', 'key-withdrawn']);
/** Target for the time until all entry processes apply an accepted configuration change or key withdrawal, in milliseconds. */
const targetMs = 3000;
/** Target for the time from the end of the leader until a configuration change is accepted, in milliseconds. */
const failoverTargetMs = 2000;
/** Target for the share of the steady customer's requests that are refused although the customer stays within its rate. */
const wrongfulShareTarget = 0.001;

const configuration = `
profiles:
  bench: {maxWait: 1s, latency: {firstToken: 2s}, timeout: 10s, concurrency: 10000, upstreamConcurrency: 10000}
tenants:
  caller: {rate: ${callerTokensPerSecond} tokens/s, burst: 1000000}
  steady: {rate: ${customerLimit.rate} tokens/s, burst: ${customerLimit.burst}}
  greedy: {rate: ${customerLimit.rate} tokens/s, burst: ${customerLimit.burst}}
services:
  desk:
    kind: plain
    profile: bench
    routes:
      - {methods: [GET], path: /lookups, idempotent: true}
      - {methods: [GET], path: ${steadyTraffic.path}, idempotent: true, cost: ${steadyTraffic.cost}}
      - {methods: [GET], path: ${greedyTraffic.path}, idempotent: true, cost: ${greedyTraffic.cost}}
upstreams:
  desk-1: {service: desk, address: 127.0.0.1:1, zone: z1, role: plain}
  desk-2: {service: desk, address: 127.0.0.1:1, zone: z2, role: plain}
`;

function withCallerRate(text: string, tokensPerSecond: number): string {
	const document = parseDocument(text);
	document.setIn(['tenants', 'caller', 'rate'], `${tokensPerSecond} tokens/s`);
	return String(document);
}

/** Returns the number of rate-limit tokens admitted beyond `burst + rate * t` in the worst time window, where `t` is the length of the window in seconds; 0 if no window has an excess. The result is a lower bound, because each request was admitted at an unknown time between sending and answer. */
export function excessTokens(admitted: readonly AdmittedRequest[], limit: {readonly rate: number; readonly burst: number}): number {
	const sortedByEnd = [...admitted].sort((a, b) => a.endMs - b.endMs);
	let worst = 0;
	for (const {sentMs: fromMs} of admitted) {
		let tokens = 0;
		for (const {sentMs, endMs, cost} of sortedByEnd) {
			if (sentMs >= fromMs) {
				tokens += cost;
				worst = Math.max(worst, tokens - limit.burst - (limit.rate * (endMs - fromMs) / 1000));
			}
		}
	}

	return worst;
}

function countCodes(answers: readonly RequestResult[]): Readonly<Record<string, number>> {
	const counts: Record<string, number> = {};
	for (const {code} of answers) {
		counts[code] = (counts[code] ?? 0) + 1;
	}

	return counts;
}

function toAdmitted(answers: readonly RequestResult[], cost: number): AdmittedRequest[] {
	return answers.filter(({outcome}) => outcome === 'accepted').map(({sentMs, endMs}) => ({sentMs, endMs, cost}));
}

class ControlBench {
	private readonly _agent = new Agent({connections: 2000, pipelining: 1});
	private readonly _entryVms: readonly string[];
	private readonly _controlVms: readonly string[];
	private _version = 1;
	private _changeCount = 0;

	constructor(private readonly _system: System) {
		const vmsOfRole = (wanted: string): string[] => _system.cluster.plans.filter(({role}) => role === wanted).map(({vm}) => vm);
		this._entryVms = vmsOfRole('entry');
		this._controlVms = vmsOfRole('control');
	}

	async measureIdle(): Promise<Measurements> {
		await sleep(idleMeasurementMs / 2);
		const vms = [...this._entryVms, ...this._controlVms];
		const before = vms.map(vm => this._readUsage(vm));
		await sleep(idleMeasurementMs);
		const after = vms.map(vm => this._readUsage(vm));
		const ratesPerSecond = (from: number, to: number, counter: (usage: ProcessUsage) => number) => summarize(after.slice(from, to).map((usage, index) => {
			const earlier = before[from + index]!;
			return (counter(usage) - counter(earlier)) * 1000 / (usage.atMs - earlier.atMs);
		}));
		return {
			entryCpuShare: ratesPerSecond(0, entryCount, ({cpuMs}) => cpuMs / 1000),
			entryIoBytesPerSecond: ratesPerSecond(0, entryCount, ({ioBytes}) => ioBytes),
			controlCpuShare: ratesPerSecond(entryCount, vms.length, ({cpuMs}) => cpuMs / 1000),
			controlIoBytesPerSecond: ratesPerSecond(entryCount, vms.length, ({ioBytes}) => ioBytes),
			note: 'no counter for bytes between processes exists; the bytes are those of all read and write calls',
		};
	}

	async measureConfiguration(): Promise<Measurements> {
		const times: number[] = [];
		for (let repeat = 0; repeat < changeRepeats; repeat++) {
			const version = await this._applyChange();
			const acceptedMs = performance.now();
			await Promise.all(this._entryVms.map(async vm => this._waitForVersion(vm, version)));
			times.push(performance.now() - acceptedMs);
		}

		return {inForceMs: summarize(times), targetMs, isOnTarget: Math.max(...times) < targetMs};
	}

	async measureWithdrawal(): Promise<Measurements> {
		const keys: Array<{keyId: string; key: string}> = [];
		for (let repeat = 0; repeat < withdrawalRepeats; repeat++) {
			keys.push(await this._system.issueKey('caller'));
		}

		const withdrawals: WithdrawalTimes[] = [];
		for (const {keyId, key} of keys) {
			withdrawals.push(await this._withdraw(keyId, key));
		}

		const times = withdrawals.map(({sinceAcceptedMs}) => sinceAcceptedMs);
		return {
			lastAcceptedMs: summarize(times), lastAcceptedSinceRequestMs: summarize(withdrawals.map(({sinceRequestMs}) => sinceRequestMs)), targetMs, isOnTarget: Math.max(...times) < targetMs,
		};
	}

	async measureFailover(): Promise<Measurements> {
		const times: number[] = [];
		for (let repeat = 0; repeat < failoverRepeats; repeat++) {
			const leader = await this._system.leader();
			this._system.cluster.signal(leader, 'SIGKILL');
			const killedMs = performance.now();
			await this._applyChange();
			times.push(performance.now() - killedMs);
			this._system.cluster.startVm(leader);
			await this._waitReady(leader);
			// Let the restarted member catch up before the next kill, so that the next leader is not the only member with the complete log.
			await sleep(500);
		}

		return {withoutLeaderMs: summarize(times), targetMs: failoverTargetMs, isOnTarget: Math.max(...times) < failoverTargetMs};
	}

	async measureAdmission(): Promise<Measurements> {
		const keys = {steady: await this._system.issueKey('steady'), greedy: await this._system.issueKey('greedy')};
		const runs: AdmissionRun[] = [];
		for (let repeat = 0; repeat < admissionRepeats; repeat++) {
			const killedVm = this._entryVms[repeat]!;
			const kill = (async () => {
				await sleep(admissionRunMs / 2);
				this._system.cluster.signal(killedVm, 'SIGKILL');
			})();
			const [steadyAnswers, greedyAnswers] = await Promise.all([this._sendSkewed(keys.steady.key, steadyTraffic), this._sendSkewed(keys.greedy.key, greedyTraffic)]);
			await kill;
			runs.push({steady: steadyAnswers, greedy: greedyAnswers});
			this._system.cluster.startVm(killedVm);
			await this._waitReady(killedVm);
		}

		const excessPerRun = runs.map(run => Math.max(
			excessTokens(toAdmitted(run.steady, steadyTraffic.cost), customerLimit),
			excessTokens(toAdmitted(run.greedy, greedyTraffic.cost), customerLimit),
		));
		const wrongfulShares = runs.map(run => run.steady.filter(({outcome}) => outcome === 'refused').length / run.steady.length);
		return {
			overAdmittedTokens: summarize(excessPerRun),
			targetOverAdmittedTokens: 0,
			wrongfulRefusalShare: {...summarize(wrongfulShares.map(share => share * 1000)), unit: 'per thousand'},
			targetWrongfulPerThousand: wrongfulShareTarget * 1000,
			steadyRequests: runs.map(run => run.steady.length),
			steadyCodes: runs.map(run => countCodes(run.steady)),
			greedyCodes: runs.map(run => countCodes(run.greedy)),
			note: 'over-admission counts answered requests; those whose connection broke are neither admitted nor refused here',
			isOnTarget: Math.max(...excessPerRun) === 0 && Math.max(...wrongfulShares) < wrongfulShareTarget,
		};
	}

	private _readUsage(vm: string): ProcessUsage {
		return readProcessUsage(this._system.cluster.pid(vm));
	}

	/** Applies a changed configuration through any control VM that answers. All attempts use the same change id. Resolves with the new version. */
	private async _applyChange(): Promise<number> {
		const changeId = `bench-${this._changeCount++}`;
		const source = withCallerRate(this._system.configuration, callerTokensPerSecond + this._changeCount);
		const deadlineMs = performance.now() + changeTimeoutMs;
		let lastFailure = '';
		while (performance.now() < deadlineMs) {
			for (const vm of this._controlVms.filter(control => this._system.cluster.isRunning(control))) {
				try {
					const {status, body} = await this._system.callOperatorApi(vm, 'PUT', '/v1/config', {changeId, expectedVersion: this._version, source});
					lastFailure = `${status} ${JSON.stringify(body)}`;
					if (status === 200) {
						this._version = body.version as number;
						return this._version;
					}
				} catch (err) {
					lastFailure = String(err);
				}
			}

			await sleep(pollIntervalMs);
		}

		throw new Error(`no change accepted within ${changeTimeoutMs} ms: ${lastFailure}`);
	}

	private async _waitForVersion(vm: string, version: number): Promise<void> {
		const deadlineMs = performance.now() + changeTimeoutMs;
		while (performance.now() < deadlineMs) {
			const {body} = await this._system.callOperatorApi(vm, 'GET', '/state');
			if ((body.access as {version?: number}).version! >= version) {
				return;
			}

			await sleep(pollIntervalMs);
		}

		throw new Error(`${vm} did not reach version ${version} within ${changeTimeoutMs} ms`);
	}

	private async _waitReady(vm: string): Promise<void> {
		await this._system.cluster.waitReady([vm]);
	}

	/** Withdraws a key while sending requests with this key to every entry process, and resolves with the delay until no entry process accepted the key. Rejects if an entry process did not accept the key before its withdrawal, or if one still accepts the key at the timeout. */
	private async _withdraw(keyId: string, key: string): Promise<WithdrawalTimes> {
		const observed = {lastSentMs: 0, isAccepted: false, accepting: new Set<string>()};
		const deadlineMs = performance.now() + changeTimeoutMs;
		const probe = async (vm: string): Promise<void> => {
			let refused = 0;
			while (refused < refusalsUntilWithdrawn && performance.now() < deadlineMs) {
				const answer = await this._send(vm, key, '/lookups');
				if (answer.outcome === 'accepted') {
					observed.lastSentMs = Math.max(observed.lastSentMs, answer.sentMs);
					observed.accepting.add(vm);
				}

				refused = observed.isAccepted && withdrawnCodes.has(answer.code) ? refused + 1 : 0;
				await sleep(pollIntervalMs);
			}
		};

		const probes = this._entryVms.map(async vm => probe(vm));
		await sleep(200);
		const acceptingBefore = observed.accepting.size;
		const requestedMs = performance.now();
		const {status} = await this._system.callOperatorApi(this._controlVms[0]!, 'DELETE', `/v1/keys/${keyId}?changeId=bench-withdraw-${keyId}`);
		if (status !== 200) {
			throw new Error(`the withdrawal was answered with ${status}`);
		}

		const acceptedMs = performance.now();
		observed.isAccepted = true;
		await Promise.all(probes);
		// An entry process that refused the key from the beginning would make the withdrawal look immediate, so the measurement is rejected.
		if (acceptingBefore < this._entryVms.length || performance.now() >= deadlineMs) {
			throw new Error(`key accepted on ${acceptingBefore} of ${this._entryVms.length} entry processes before its withdrawal, refused on all after ${performance.now() - acceptedMs} ms`);
		}

		return {sinceAcceptedMs: Math.max(0, observed.lastSentMs - acceptedMs), sinceRequestMs: Math.max(0, observed.lastSentMs - requestedMs)};
	}

	/** Sends requests at a fixed rate and resolves with their results. The nth entry process receives a share of the requests that is proportional to 1/n. */
	private async _sendSkewed(key: string, {path, perSecond}: {path: string; perSecond: number}): Promise<RequestResult[]> {
		const weights = this._entryVms.map((_, index) => 1 / (index + 1));
		const total = weights.reduce((sum, weight) => sum + weight, 0);
		const running = (): string[] => this._entryVms.filter(vm => this._system.cluster.isRunning(vm));
		// A low-discrepancy sequence gives the same distribution in every repeat.
		const pick = (n: number): string => {
			let point = (n * 0.618_033_988_749_895 % 1) * total;
			const index = weights.findIndex(weight => {
				point -= weight;
				return point < 0;
			});
			const vm = this._entryVms[Math.max(0, index)]!;
			return this._system.cluster.isRunning(vm) ? vm : running()[n % running().length]!;
		};

		const sends: Array<Promise<RequestResult>> = [];
		const startMs = performance.now();
		for (let elapsedMs = 0; elapsedMs < admissionRunMs; elapsedMs = performance.now() - startMs) {
			while (sends.length < elapsedMs * perSecond / 1000) {
				sends.push(this._send(pick(sends.length), key, path));
			}

			await sleep(2);
		}

		return Promise.all(sends);
	}

	private async _send(vm: string, key: string, path: string): Promise<RequestResult> {
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

/** Runs the benchmarks of the control processes. */
export function benchControl(): AsyncIterable<BenchResult> {
	return runBenchGroup({
		name: 'control',
		scenarioNames: ['idle', 'configuration', 'withdrawal', 'failover', 'admission'],
		start: async () => System.start({
			name: 'bench-control',
			controls: 3,
			entries: entryCount,
			zones: ['z1', 'z2', 'z3'],
			configuration,
			doubleArguments: () => ['--service-ms', '1', '--concurrency', '1000'],
		}),
		async prepareScenarios(system) {
			const bench = new ControlBench(system);
			return [
				{name: 'idle', run: async () => bench.measureIdle()},
				{name: 'configuration', run: async () => bench.measureConfiguration()},
				{name: 'withdrawal', run: async () => bench.measureWithdrawal()},
				{name: 'failover', run: async () => bench.measureFailover()},
				{name: 'admission', run: async () => bench.measureAdmission()},
			];
		},
	});
}
