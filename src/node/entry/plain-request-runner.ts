import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import type {UntimedEvent} from '../../common/core/types.js';
import type {Profile, Route} from '../../common/configuration/types.js';
import type {
	CallFailure, PlainRequestEffect, PlainRequestEvent, PlainRequestState,
} from '../../common/requests/types.js';
import {createPlainRequest, reducePlainRequest} from '../../common/requests/plain-lifecycle.js';
import type {PartId} from '../../common/quarantine/types.js';
import type {ClaimSettlement, RecordedOutcome} from '../../common/services/claim-service.js';
import type {TrackedAttempt} from '../quarantine/request-quarantine.js';
import {CallError, failureOf} from '../upstreams/call-error.js';
import type {UpstreamResponse} from '../upstreams/connection-pool.js';
import type {PlainUpstream, ServiceLimits, UpstreamRegistry} from '../upstreams/upstream-registry.js';
import {recordAttemptFailure} from './attempt-failure.js';
import type {Exchange} from './exchange.js';
import {buildUpstreamHeaders, buildCallerHeaders} from './headers.js';
import {createProblem} from './problems.js';
import type {EntryServices} from './types.js';

/** Size of the largest response body that is recorded for retries of a request with an idempotency key, in bytes. */
export const maxRecordedBodyBytes = 16_384;
/** Fraction of the request timeout in which the first attempt of an idempotent request must be answered, so that time is left for another attempt. */
const firstAttemptTimeoutShare = 0.5;
/** Lowest status with which a server states that it failed. */
const firstServerErrorStatus = 500;
/** Response statuses that count as a failure of the upstream. Several consecutive failures eject the upstream. */
const unhealthyStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

export type PlainRequest = {
	readonly exchange: Exchange;
	readonly serviceName: string;
	readonly profile: Profile;
	readonly serviceLimits: ServiceLimits;
	readonly route: Route;
	/** Path and query to send to the upstream. */
	readonly target: string;
	readonly body: Uint8Array;
	/** Id of the claim for the request's idempotency key; undefined if no claim was opened. */
	readonly claimId: string | undefined;
	/** Parts by which the quarantine recognizes a request that crashes servers. */
	readonly parts: readonly PartId[];
};

type Attempt = {
	readonly upstream: PlainUpstream;
	readonly abortController: AbortController;
	readonly release: () => void;
	readonly tracked: TrackedAttempt;
	response: UpstreamResponse | undefined;
};

/** Runs one request to a plain service: executes the effects of its lifecycle and dispatches the results as events. */
export class PlainRequestRunner {
	private readonly _state: PlainRequestState;
	private readonly _attempts = new Map<number, Attempt>();
	private readonly _triedUpstreams = new Set<string>();
	private readonly _startedAtMs: number;
	private readonly _recordedChunks: Uint8Array[] = [];
	private _recordedBytes = 0;
	private _relayedResponse: UpstreamResponse | undefined;
	private _isDeadlineExceeded = false;
	private _claimSettlement: Promise<void> = Promise.resolve();
	private _resolveRun!: () => void;

	constructor(private readonly _services: EntryServices, private readonly _upstreams: UpstreamRegistry, private readonly _request: PlainRequest) {
		this._startedAtMs = _services.clock.nowMs();
		this._state = createPlainRequest({
			isIdempotent: _request.route.idempotent, isClaimed: _request.claimId !== undefined, budget: _request.serviceLimits.retries,
		});
	}

	/** Runs the request and settles its claim, if any; resolves with whether the request may have run. */
	async run(): Promise<boolean> {
		const {exchange, profile, serviceLimits} = this._request;
		serviceLimits.retries.deposit();
		const timers: NodeJS.Timeout[] = [];
		await new Promise<void>(resolve => {
			this._resolveRun = resolve;
			timers.push(setTimeout(() => {
				this._isDeadlineExceeded = true;
				this._dispatch({type: 'plain/stopped', reason: 'deadline'});
			}, profile.timeout));
			if (profile.hedgeAfter !== undefined && this._isIdempotentRead) {
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

		await this._claimSettlement;
		return this._state.mayHaveRun;
	}

	private get _isIdempotentRead(): boolean {
		return this._request.route.idempotent && ['GET', 'HEAD'].includes(this._request.exchange.req.method!);
	}

	private _dispatch(event: UntimedEvent<PlainRequestEvent>): void {
		const effects = reducePlainRequest(this._state, {...event, nowMs: this._services.clock.nowMs()});
		for (const effect of effects) {
			this._execute(effect);
		}

		if (this._state.phase === 'ended') {
			this._resolveRun();
		}
	}

	private _execute(effect: PlainRequestEffect): void {
		switch (effect.type) {
			case 'plain/send': {
				this._startAttempt(effect.attempt);
				break;
			}

			case 'plain/abort': {
				this._abortAttempt(effect.attempt);
				break;
			}

			case 'plain/relay': {
				void this._relayResponse(this._attempts.get(effect.attempt)!);
				break;
			}

			case 'plain/cut': {
				this._request.exchange.destroyConnection();
				break;
			}

			case 'plain/refuse': {
				this._request.exchange.sendProblem(createProblem(effect.code, {run: effect.run, ...(effect.retryAfterMs !== undefined && {retryAfterMs: effect.retryAfterMs})}));
				break;
			}

			case 'plain/settle': {
				this._claimSettlement = this._settleClaim(effect.outcome);
				break;
			}
		}
	}

	private _startAttempt(attemptNumber: number): void {
		const {
			serviceName, profile, serviceLimits, exchange, parts,
		} = this._request;
		const {quarantine} = this._services;
		const block = quarantine.findBlock(parts);
		if (block) {
			const retryAfterMs = quarantine.recordRefusal(block, exchange.traceIds.requestId);
			queueMicrotask(() => {
				this._dispatch({type: 'plain/blocked', attempt: attemptNumber, retryAfterMs});
			});
			return;
		}

		const choice = this._upstreams.choosePlainUpstream(serviceName, profile.upstreamConcurrency, this._triedUpstreams);
		if (choice.kind === 'refused') {
			queueMicrotask(() => {
				this._dispatch({type: 'plain/no-upstream', attempt: attemptNumber, code: choice.code});
			});
			return;
		}

		const upstream = this._upstreams.getPlainUpstream(choice.name);
		const release = upstream.concurrency.tryAcquire()!;
		const attempt: Attempt = {
			upstream, abortController: new AbortController(), release, tracked: quarantine.track(choice.name, exchange.traceIds.requestId, parts), response: undefined,
		};
		this._attempts.set(attemptNumber, attempt);
		this._triedUpstreams.add(choice.name);
		if (attemptNumber > 1) {
			this._services.metrics.count('upstream_retries_total', {service: serviceName});
		}

		void this._callUpstream(attemptNumber, attempt);
	}

	private async _callUpstream(attemptNumber: number, attempt: Attempt): Promise<void> {
		const {
			exchange, target, body, route,
		} = this._request;
		const {upstream, abortController} = attempt;
		try {
			const response = await upstream.adapter.send({
				method: exchange.req.method as Dispatcher.HttpMethod,
				path: target,
				headers: buildUpstreamHeaders(exchange.req, exchange.traceIds, exchange.identity?.tenant),
				...(body.length > 0 && {body}),
				headersTimeoutMs: this._attemptTimeoutMs(attemptNumber),
				signal: abortController.signal,
				requestId: exchange.traceIds.requestId,
				isIdempotent: route.idempotent,
			});
			attempt.response = response;
			response.body.once('close', attempt.release);
			this._upstreams.recordResult(upstream.adapter.name, !unhealthyStatuses.has(response.status));
			this._dispatch({type: 'plain/answered', attempt: attemptNumber, status: response.status});
		} catch (err) {
			attempt.release();
			if (!abortController.signal.aborted) {
				const failure = failureOf(err);
				this._recordFailure(attempt, failure);
				if (failure.kind !== 'error') {
					this._upstreams.recordResult(upstream.adapter.name, false);
				}

				this._dispatch({type: 'plain/attempt-failed', attempt: attemptNumber, failure});
			}
		}
	}

	private _attemptTimeoutMs(attemptNumber: number): number {
		const {profile, route} = this._request;
		const remainingMs = Math.max(1, profile.timeout - (this._services.clock.nowMs() - this._startedAtMs));
		return route.idempotent && attemptNumber === 1 ? Math.min(remainingMs, profile.timeout * firstAttemptTimeoutShare) : remainingMs;
	}

	/**
	Aborts an attempt. An attempt without a response counts as a failure of its upstream if the request has timed out or a
	hedged attempt was answered first, since a stalled upstream is not detected in any other way.
	*/
	private _abortAttempt(attemptNumber: number): void {
		const attempt = this._attempts.get(attemptNumber);
		if (!attempt) {
			return;
		}

		const hasLostToHedge = this._state.phase === 'relaying' && attemptNumber === 1;
		if (attempt.response === undefined && (hasLostToHedge || this._isDeadlineExceeded)) {
			this._upstreams.recordResult(attempt.upstream.adapter.name, false);
		}

		attempt.tracked.end('stopped');
		attempt.abortController.abort();
		attempt.response?.body.destroy();
	}

	private _recordFailure({upstream, tracked}: Attempt, failure: CallFailure): void {
		recordAttemptFailure(this._services.quarantine, this._upstreams, {
			tracked, upstream: upstream.adapter.name, failure, isAborted: false,
		});
	}

	private async _relayResponse(attempt: Attempt): Promise<void> {
		const {exchange} = this._request;
		const response = attempt.response!;
		this._relayedResponse = response;
		try {
			if (!exchange.res.destroyed) {
				// In chunks if the upstream's response has no length: a close alone would also follow if this process were killed.
				exchange.writeHead(response.status, buildCallerHeaders(response.headers));
			}

			for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
				this._recordChunk(chunk);
				await exchange.write(chunk);
			}

			if (response.wasBrokenOff()) {
				throw new CallError('broken', true, 'the connection was reset before the response was complete, or closed before the request was sent');
			}

			if (!response.isFramed && await this._upstreams.isLost(attempt.upstream.adapter.name)) {
				throw new CallError('broken', true, 'the upstream is gone at the end of a response without framing');
			}
		} catch (err) {
			// If the caller is gone, the body ends for that reason.
			if (exchange.res.destroyed) {
				attempt.tracked.end('stopped');
			} else {
				this._recordFailure(attempt, failureOf(err));
			}

			this._dispatch({type: 'plain/body-broken'});
			return;
		}

		attempt.tracked.endWithAnswer(response.status < firstServerErrorStatus);
		this._dispatch({type: 'plain/body-ended'});
		exchange.res.end();
	}

	private _recordChunk(chunk: Uint8Array): void {
		if (this._request.claimId === undefined) {
			return;
		}

		this._recordedBytes += chunk.length;
		if (this._recordedBytes <= maxRecordedBodyBytes) {
			this._recordedChunks.push(chunk);
		} else {
			this._recordedChunks.length = 0;
		}
	}

	private async _settleClaim(outcome: 'answered' | 'not-run' | 'unknown'): Promise<void> {
		const claimOutcome: ClaimSettlement = outcome === 'answered' ? {kind: 'answered', outcome: this._buildRecordedOutcome()} : {kind: outcome};
		try {
			await this._services.claims.settle(this._request.claimId!, claimOutcome);
		} catch (err) {
			// The claim stays open, so a retry is told that the outcome is unknown.
			this._services.metrics.count('claims_unsettled_total', {service: this._request.serviceName});
			this._services.logger.log('debug', 'claim not settled', {err});
		}
	}

	private _buildRecordedOutcome(): RecordedOutcome {
		const {status, headers, isFramed} = this._relayedResponse!;
		// A body without framing may have been cut short, and a replay would give it a length.
		const isRecorded = isFramed && this._recordedBytes <= maxRecordedBodyBytes;
		return {status, headers: toRecordedHeaders(headers), ...(isRecorded && {body: Buffer.concat(this._recordedChunks)})};
	}
}

/**
Returns the response headers to record, without the content length. The values of a repeated header are joined with commas,
but those of `set-cookie` with line breaks, since a cookie may contain a comma and no header value contains a line break.
*/
function toRecordedHeaders(headers: readonly string[]): Record<string, string> {
	const recorded: Record<string, string> = {};
	const returned = buildCallerHeaders(headers);
	for (let i = 0; i < returned.length; i += 2) {
		const name = returned[i]!.toLowerCase();
		const value = returned[i + 1]!;
		if (name !== 'content-length') {
			const separator = name === 'set-cookie' ? '\n' : ', ';
			recorded[name] = recorded[name] === undefined ? value : recorded[name] + separator + value;
		}
	}

	return recorded;
}

/** Sends the recorded response to a retry of the same request; refuses the retry if the response was too large to be recorded. */
export function sendRecordedOutcome(exchange: Exchange, {status, headers, body}: RecordedOutcome): void {
	if (!body) {
		exchange.sendProblem(createProblem('outcome-not-recorded', {detail: `the earlier request was answered with status ${status}`}));
		return;
	}

	const lines = Object.entries(headers).flatMap(([name, value]) => value.split('\n').flatMap(line => [name, line]));
	const lengthHeader = status === 204 || status === 304 ? [] : ['content-length', String(body.length)];
	exchange.writeHead(status, [...lines, 'idempotency-replayed', 'true', ...lengthHeader]);
	exchange.res.end(body);
}

