import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import type {WithoutTime} from '../../common/core/types.js';
import type {Profile, Route} from '../../common/configuration/types.js';
import type {PlainEffect, PlainEvent, PlainState} from '../../common/requests/types.js';
import {createPlainRequest, reducePlainRequest} from '../../common/requests/plain-lifecycle.js';
import type {ClaimOutcome, RecordedOutcome} from '../../common/services/claim-service.js';
import {CallError, failureOf} from '../upstreams/call-error.js';
import type {Answer} from '../upstreams/connection-pool.js';
import type {PlainUpstream, ServiceGuards, UpstreamRegistry} from '../upstreams/upstream-registry.js';
import type {Exchange} from './exchange.js';
import {forwardedHeaders, returnedHeaders} from './headers.js';
import {problem} from './problems.js';
import type {EntryServices} from './types.js';

/** Largest body kept for resends of a request with an idempotency key. */
export const maxRecordedBytes = 16_384;
/** Share of a request's timeout that the first attempts at an idempotent request may take, so that another can follow. */
const attemptShare = 0.5;
/** Statuses by which a server says that it is not able to serve; several in a row eject it. */
const unhealthyStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

export type PlainCall = {
	readonly exchange: Exchange;
	readonly serviceName: string;
	readonly profile: Profile;
	readonly guards: ServiceGuards;
	readonly route: Route;
	/** Path and query. */
	readonly target: string;
	readonly body: Uint8Array;
	/** Present when the request is claimed. */
	readonly claimId: string | undefined;
};

type Attempt = {
	readonly upstream: PlainUpstream;
	readonly abort: AbortController;
	readonly release: () => void;
	answer: Answer | undefined;
};

/** Runs one request to a plain service: executes the effects of its lifecycle and reports what comes of them. */
export class PlainRun {
	private readonly _state: PlainState;
	private readonly _attempts = new Map<number, Attempt>();
	private readonly _tried = new Set<string>();
	private readonly _startedAtMs: number;
	private readonly _recorded: Uint8Array[] = [];
	private _recordedBytes = 0;
	private _relayed: Answer | undefined;
	private _isOverdue = false;
	private _settling: Promise<void> = Promise.resolve();
	private _finish!: () => void;

	constructor(private readonly _services: EntryServices, private readonly _upstreams: UpstreamRegistry, private readonly _request: PlainCall) {
		this._startedAtMs = _services.clock.nowMs();
		this._state = createPlainRequest({
			isIdempotent: _request.route.idempotent, isClaimed: _request.claimId !== undefined, budget: _request.guards.retries,
		});
	}

	/** Resolves when the request has ended and its claim, if any, has been settled; tells whether it may have run. */
	async run(): Promise<boolean> {
		const {exchange, profile, guards} = this._request;
		guards.retries.earn();
		const timers: NodeJS.Timeout[] = [];
		await new Promise<void>(resolve => {
			this._finish = resolve;
			timers.push(setTimeout(() => {
				this._isOverdue = true;
				this._dispatch({type: 'plain/stopped', reason: 'deadline'});
			}, profile.timeout));
			if (profile.hedgeAfter !== undefined && this._isLookup) {
				timers.push(setTimeout(() => {
					this._dispatch({type: 'plain/hedge-due'});
				}, profile.hedgeAfter));
			}

			exchange.onStop(reason => {
				this._dispatch({type: 'plain/stopped', reason});
			});
			this._dispatch({type: 'plain/start'});
		});
		for (const timer of timers) {
			clearTimeout(timer);
		}

		await this._settling;
		return this._state.mayHaveRun;
	}

	private get _isLookup(): boolean {
		return this._request.route.idempotent && ['GET', 'HEAD'].includes(this._request.exchange.req.method!);
	}

	private _dispatch(event: WithoutTime<PlainEvent>): void {
		const effects = reducePlainRequest(this._state, {...event, nowMs: this._services.clock.nowMs()});
		for (const effect of effects) {
			this._execute(effect);
		}

		if (this._state.phase === 'ended') {
			this._finish();
		}
	}

	private _execute(effect: PlainEffect): void {
		switch (effect.type) {
			case 'plain/send': {
				this._send(effect.attempt);
				break;
			}

			case 'plain/abort': {
				this._abort(effect.attempt);
				break;
			}

			case 'plain/relay': {
				void this._relay(this._attempts.get(effect.attempt)!);
				break;
			}

			case 'plain/cut': {
				this._request.exchange.cut();
				break;
			}

			case 'plain/refuse': {
				this._request.exchange.sendProblem(problem(effect.code, {run: effect.run}));
				break;
			}

			case 'plain/settle': {
				this._settling = this._settle(effect.outcome);
				break;
			}
		}
	}

	private _send(number: number): void {
		const {serviceName, profile, guards} = this._request;
		const choice = this._upstreams.choose(serviceName, profile.upstreamConcurrency, this._tried);
		if (choice.kind === 'refused') {
			queueMicrotask(() => {
				this._dispatch({type: 'plain/no-upstream', attempt: number, code: choice.code});
			});
			return;
		}

		const upstream = this._upstreams.plain(choice.name);
		const release = upstream.concurrency.acquire()!;
		const attempt: Attempt = {
			upstream, abort: new AbortController(), release, answer: undefined,
		};
		this._attempts.set(number, attempt);
		this._tried.add(choice.name);
		if (number > 1) {
			this._services.metrics.count('upstream_retries_total', {service: serviceName});
		}

		void this._call(number, attempt);
	}

	private async _call(number: number, attempt: Attempt): Promise<void> {
		const {exchange, target, body} = this._request;
		const {upstream, abort} = attempt;
		try {
			const answer = await upstream.adapter.send({
				method: exchange.req.method as Dispatcher.HttpMethod,
				path: target,
				headers: forwardedHeaders(exchange.req, exchange.ids, exchange.identity?.tenant),
				...(body.length > 0 && {body}),
				headersTimeoutMs: this._attemptTimeoutMs(number),
				signal: abort.signal,
			});
			attempt.answer = answer;
			answer.body.once('close', attempt.release);
			this._upstreams.record(upstream.adapter.name, !unhealthyStatuses.has(answer.status));
			this._dispatch({type: 'plain/answered', attempt: number, status: answer.status});
		} catch (err) {
			attempt.release();
			if (!abort.signal.aborted) {
				const failure = failureOf(err);
				if (failure.kind !== 'error') {
					this._upstreams.record(upstream.adapter.name, false);
				}

				this._dispatch({type: 'plain/attempt-failed', attempt: number, failure});
			}
		}
	}

	private _attemptTimeoutMs(number: number): number {
		const {profile, route} = this._request;
		const remainingMs = Math.max(1, profile.timeout - (this._services.clock.nowMs() - this._startedAtMs));
		return route.idempotent && number === 1 ? Math.min(remainingMs, profile.timeout * attemptShare) : remainingMs;
	}

	/**
	An attempt without an answer counts as failed when the request is overdue or when its hedge has won,
	since a stalled server shows in no other way.
	*/
	private _abort(number: number): void {
		const attempt = this._attempts.get(number);
		if (!attempt) {
			return;
		}

		const hasLost = this._state.phase === 'relaying' && number === 1;
		if (attempt.answer === undefined && (hasLost || this._isOverdue)) {
			this._upstreams.record(attempt.upstream.adapter.name, false);
		}

		attempt.abort.abort();
		attempt.answer?.body.destroy();
	}

	private async _relay(attempt: Attempt): Promise<void> {
		const {exchange} = this._request;
		const answer = attempt.answer!;
		this._relayed = answer;
		try {
			if (!exchange.res.destroyed) {
				exchange.writeHead(answer.status, returnedHeaders(answer.headers));
			}

			for await (const chunk of answer.body as AsyncIterable<Uint8Array>) {
				this._record(chunk);
				await exchange.write(chunk);
			}

			if (answer.wasReset()) {
				throw new CallError('broken', true, 'the connection was reset within the answer');
			}
		} catch {
			this._dispatch({type: 'plain/body-broken'});
			return;
		}

		this._dispatch({type: 'plain/body-ended'});
		exchange.res.end();
	}

	private _record(chunk: Uint8Array): void {
		if (this._request.claimId === undefined) {
			return;
		}

		this._recordedBytes += chunk.length;
		if (this._recordedBytes <= maxRecordedBytes) {
			this._recorded.push(chunk);
		} else {
			this._recorded.length = 0;
		}
	}

	private async _settle(outcome: 'answered' | 'not-run' | 'unknown'): Promise<void> {
		const settled: ClaimOutcome = outcome === 'answered' ? {kind: 'answered', outcome: this._outcome()} : {kind: outcome};
		try {
			await this._services.claims.settle(this._request.claimId!, settled);
		} catch (err) {
			// The claim stays open, so a resend is told that the outcome is unknown.
			this._services.metrics.count('claims_unsettled_total', {service: this._request.serviceName});
			this._services.logger.log('debug', 'claim not settled', {err});
		}
	}

	private _outcome(): RecordedOutcome {
		const {status, headers} = this._relayed!;
		const isRecorded = this._recordedBytes <= maxRecordedBytes;
		return {status, headers: recordedHeaders(headers), ...(isRecorded && {body: Buffer.concat(this._recorded)})};
	}
}

/** Headers of several lines are joined: cookies by line breaks, which no header contains, others by commas. */
function recordedHeaders(headers: readonly string[]): Record<string, string> {
	const recorded: Record<string, string> = {};
	const kept = returnedHeaders(headers);
	for (let i = 0; i < kept.length; i += 2) {
		const name = kept[i]!.toLowerCase();
		const value = kept[i + 1]!;
		if (name !== 'content-length') {
			const separator = name === 'set-cookie' ? '\n' : ', ';
			recorded[name] = recorded[name] === undefined ? value : recorded[name] + separator + value;
		}
	}

	return recorded;
}

/** Sends the recorded answer to a resend of the same request. */
export function replayOutcome(exchange: Exchange, {status, headers, body}: RecordedOutcome): void {
	if (!body) {
		exchange.sendProblem(problem('outcome-not-recorded', {detail: `the earlier request was answered with status ${status}`}));
		return;
	}

	const lines = Object.entries(headers).flatMap(([name, value]) => value.split('\n').flatMap(line => [name, line]));
	const length = status === 204 || status === 304 ? [] : ['content-length', String(body.length)];
	exchange.writeHead(status, [...lines, 'idempotency-replayed', 'true', ...length]);
	exchange.res.end(body);
}

