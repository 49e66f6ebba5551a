import {setTimeout as sleep} from 'node:timers/promises';
import type {UntimedEvent} from '../../common/core/types.js';
import type {ModelService, Profile} from '../../common/configuration/types.js';
import type {
	CallFailure, ModelRequestEffect, ModelRequestEvent, ModelRequestState,
} from '../../common/requests/types.js';
import {createModelRequest, reduceModelRequest} from '../../common/requests/model-lifecycle.js';
import type {Acquisition} from '../../common/services/access-service.js';
import type {DecodeFailure, PlacementReply} from '../../common/services/scheduler-client.js';
import type {Usage} from '../../common/upstreams/engine-api.js';
import {estimateTokens, prefixHashes} from '../../common/upstreams/prompt-prefix.js';
import type {TrackedAttempt} from '../quarantine/request-quarantine.js';
import {failureOf} from '../upstreams/call-error.js';
import type {EngineAdapter} from '../upstreams/engine-adapter.js';
import type {UpstreamRegistry} from '../upstreams/upstream-registry.js';
import {recordAttemptFailure} from './attempt-failure.js';
import type {CompletionWriter} from './completion-writer.js';
import type {Exchange} from './exchange.js';
import type {ChatRequest} from './chat-completions.js';
import {createProblem} from './problems.js';
import type {EntryOptions, EntryServices} from './types.js';

/** Timeout of a prefill call as a multiple of the time-to-first-token target. */
const prefillTimeoutFactor = 4;
/** Shortest timeout of a prefill call, in milliseconds, unless the request itself times out earlier. */
const minPrefillTimeoutMs = 2000;
/** Fraction of the time until the prefill result expires that one KV cache transfer may take, so that time is left for another transfer. */
const maxTransferShare = 0.5;
/** Shortest timeout of a KV cache transfer, in milliseconds. */
const minTransferTimeoutMs = 50;
/** Retry delay suggested to callers when the scheduler does not respond, in milliseconds. */
const schedulerUnavailableRetryMs = 1000;

export type ModelRequest = {
	readonly exchange: Exchange;
	/** Request id sent to engines; unique in the cluster, unlike the request id that callers choose. */
	readonly engineRequestId: string;
	readonly customer: string;
	readonly serviceName: string;
	readonly service: ModelService;
	readonly profile: Profile;
	readonly chat: ChatRequest;
	readonly maxTokens: number;
	/** Tokens taken from the customer's rate limit; undefined if none were taken. */
	readonly acquisition: Acquisition | undefined;
	/** Remaining time that the request may wait before it starts, in milliseconds. */
	readonly maxWaitMs: number;
	readonly writer: CompletionWriter;
};

/** Runs one model request: executes the effects of its lifecycle and dispatches the results as events. */
export class ModelRequestRunner {
	private readonly _state: ModelRequestState;
	private readonly _promptTokens: number;
	private _callController = new AbortController();
	private _firstTextAtMs: number | undefined;
	private _lastTextAtMs: number | undefined;
	private _startedAtMs = 0;
	private _pendingWrite: Promise<void> = Promise.resolve();
	private _resolveRun!: () => void;

	constructor(
		private readonly _services: EntryServices,
		private readonly _options: EntryOptions,
		private readonly _upstreams: UpstreamRegistry,
		private readonly _request: ModelRequest,
	) {
		this._promptTokens = estimateTokens(_request.chat.prompt);
		this._state = createModelRequest(_request.engineRequestId, _request.chat.isStreaming, this._promptTokens);
	}

	/** Time from the start of the run to the first text, in milliseconds; undefined if there was no text. */
	get timeToFirstTextMs(): number | undefined {
		return this._firstTextAtMs === undefined ? undefined : this._firstTextAtMs - this._startedAtMs;
	}

	/** Runs the request; resolves when it has ended and cancels to its engines have been issued. */
	async run(): Promise<void> {
		const {exchange, profile} = this._request;
		this._startedAtMs = this._services.clock.nowMs();
		await new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				exchange.stop('deadline');
			}, profile.timeout);
			this._resolveRun = () => {
				clearTimeout(timer);
				resolve();
			};

			exchange.onStop(reason => {
				this._dispatch({type: 'request/stopped', reason});
			});
			this._dispatch({type: 'request/start'});
		});
	}

	private _remainingMs(limitMs: number): number {
		return Math.max(1, limitMs - (this._services.clock.nowMs() - this._startedAtMs));
	}

	private _dispatch(event: UntimedEvent<ModelRequestEvent>): void {
		const effects = reduceModelRequest(this._state, {...event, nowMs: this._services.clock.nowMs()});
		for (const effect of effects) {
			this._execute(effect);
		}

		if (this._state.phase === 'ended') {
			// Only an incomplete answer is aborted: a complete stream is read to its end, so that its connection can be reused.
			if (!this._state.assembler.isComplete) {
				this._callController.abort();
			}

			this._resolveRun();
		}
	}

	private _execute(effect: ModelRequestEffect): void {
		switch (effect.type) {
			case 'request/place': {
				void this._requestPlacement(effect.attemptId);
				break;
			}

			case 'request/prefill': {
				void this._prefill(effect.attemptId, effect.upstream);
				break;
			}

			case 'request/import': {
				void this._importCache(effect);
				break;
			}

			case 'request/replace': {
				void this._replaceDecodeEngine(effect.reservation, effect.failure);
				break;
			}

			case 'request/decode': {
				void this._decode(effect);
				break;
			}

			case 'request/text': {
				this._recordTextTiming();
				this._pendingWrite = this._request.writer.writeText(effect.text);
				break;
			}

			case 'request/restart': {
				this._firstTextAtMs = undefined;
				this._request.writer.discardText();
				this._countMetric('prefill_recomputations_total');
				break;
			}

			case 'request/complete': {
				this._completeResponse(effect.usage);
				break;
			}

			case 'request/refuse': {
				this._sendRefusal(effect);
				break;
			}

			case 'request/cancel': {
				for (const upstream of effect.upstreams) {
					this._upstreams.cancel(upstream, effect.attemptId, effect.mayBeInFlight);
				}

				break;
			}

			case 'request/progress': {
				this._services.scheduler.reportProgress(effect.progress);
				break;
			}

			case 'request/settle': {
				if (this._request.acquisition) {
					this._services.access.settle(this._request.acquisition, effect.tokens);
				}

				break;
			}

			case 'request/wasted-prefill': {
				this._countMetric('prefill_tokens_wasted_total', effect.tokens);
				break;
			}
		}
	}

	/** Aborts the previous call, since a request makes one call at a time, and returns the abort signal of the new call. */
	private _startCall(): AbortSignal {
		this._callController.abort();
		this._callController = new AbortController();
		return this._callController.signal;
	}

	/** Dispatches the result of a call unless the call was aborted in the meantime. */
	private _report(signal: AbortSignal, event: UntimedEvent<ModelRequestEvent>): void {
		if (!signal.aborted) {
			this._dispatch(event);
		}
	}

	private async _requestPlacement(attemptId: string): Promise<void> {
		const signal = this._startCall();
		if (this._endIfBlocked(signal)) {
			return;
		}

		const {
			serviceName, customer, profile, chat, maxTokens, maxWaitMs, exchange,
		} = this._request;
		const elapsedMs = this._services.clock.nowMs() - exchange.startedAtMs;
		const reply = await this._askScheduler(async () => this._services.scheduler.place({
			requestId: attemptId,
			service: serviceName,
			tenant: customer,
			priority: profile.priority,
			shedOrder: profile.shedOrder,
			promptTokens: this._promptTokens,
			maxTokens,
			prefix: prefixHashes(chat.prompt),
			maxWaitMs: profile.strain === 'refuse' ? 0 : maxWaitMs,
			budgetMs: profile.latency.firstToken - elapsedMs,
			zone: this._options.zone,
		}, signal));
		if (signal.aborted && reply.kind === 'placed') {
			// The request was stopped before the placement arrived, so the reservation will not be used.
			this._releaseReservation(reply.placement.reservation);
			return;
		}

		// The view may have become stale while the request waited for its placement.
		if (reply.kind === 'placed' && !this._services.access.isFresh()) {
			this._releaseReservation(reply.placement.reservation);
			exchange.stop('stale-view');
			return;
		}

		this._report(signal, {type: 'request/placed', reply});
	}

	/** Ends the request if its prompt contains blocked parts. Returns whether it does. */
	private _endIfBlocked(signal: AbortSignal): boolean {
		const {quarantine} = this._services;
		const {chat, engineRequestId} = this._request;
		const block = quarantine.findBlock(chat.parts);
		if (block) {
			const retryAfterMs = quarantine.recordRefusal(block, engineRequestId);
			queueMicrotask(() => {
				this._report(signal, {type: 'request/blocked', retryAfterMs});
			});
		}

		return block !== undefined;
	}

	private async _askScheduler(ask: () => Promise<PlacementReply>): Promise<PlacementReply> {
		try {
			return await ask();
		} catch (err) {
			this._services.logger.log('debug', 'scheduler did not answer', {err});
			return {kind: 'refused', code: 'no-upstream', retryAfterMs: schedulerUnavailableRetryMs};
		}
	}

	private async _prefill(attemptId: string, upstream: string): Promise<void> {
		const signal = this._startCall();
		const {chat, service, profile} = this._request;
		const {quarantine} = this._services;
		const trackedPrefill = quarantine.track(upstream, attemptId, chat.parts);
		const timeoutMs = Math.min(Math.max(profile.latency.firstToken * prefillTimeoutFactor, minPrefillTimeoutMs), this._remainingMs(profile.timeout));
		try {
			const reply = await this._engineAdapter(upstream).prefill({
				requestId: attemptId, owner: this._options.identity, model: service.model, prompt: chat.prompt, priority: profile.priority,
			}, {timeoutMs, signal, headers: this._traceHeaders});
			// The prompt was read without harm, which tells nothing about the output.
			trackedPrefill.end('inconclusive');
			this._countMetric('prefill_tokens_total', reply.promptTokens - reply.cachedTokens);
			this._report(signal, {type: 'request/prefilled', reply});
		} catch (err) {
			const failure = failureOf(err);
			this._recordFailure(trackedPrefill, upstream, failure, signal);
			this._report(signal, {type: 'request/prefill-failed', failure});
		}
	}

	private _recordFailure(tracked: TrackedAttempt, upstream: string, failure: CallFailure, signal: AbortSignal): void {
		recordAttemptFailure(this._services.quarantine, this._upstreams, {
			tracked, upstream, failure, isAborted: signal.aborted,
		});
	}

	private async _importCache(effect: Extract<ModelRequestEffect, {type: 'request/import'}>): Promise<void> {
		const signal = this._startCall();
		const trackedImport = this._services.quarantine.track(effect.upstream, effect.attemptId, this._request.chat.parts);
		const remainingHoldMs = this._state.prefillExpiresAtMs - this._services.clock.nowMs();
		try {
			const source = this._engineAdapter(effect.source).address;
			await this._engineAdapter(effect.upstream).importCache({
				requestId: effect.attemptId, owner: this._options.identity, source, handle: effect.handle,
			}, {timeoutMs: Math.max(remainingHoldMs * maxTransferShare, minTransferTimeoutMs), signal, headers: this._traceHeaders});
			trackedImport.end('inconclusive');
			this._report(signal, {type: 'request/imported'});
		} catch (err) {
			const failure = failureOf(err);
			this._recordFailure(trackedImport, effect.upstream, failure, signal);
			this._report(signal, {type: 'request/import-failed', failure});
		}
	}

	private async _replaceDecodeEngine(reservation: string, failure: DecodeFailure): Promise<void> {
		const signal = this._startCall();
		this._countMetric('transfer_retries_total');
		const reply = await this._askScheduler(async () => this._services.scheduler.replaceDecode(reservation, failure));
		if (signal.aborted && reply.kind === 'placed' && reply.placement.reservation !== reservation) {
			this._releaseReservation(reply.placement.reservation);
		}

		this._report(signal, {type: 'request/replaced', reply});
	}

	/** Makes the scheduler release a reservation that the request will not use. */
	private _releaseReservation(reservation: string): void {
		this._services.scheduler.reportProgress({
			phase: 'ended', reservation, outputTokens: 0, reason: 'cancelled',
		});
	}

	private async _decode(effect: Extract<ModelRequestEffect, {type: 'request/decode'}>): Promise<void> {
		const signal = this._startCall();
		if (effect.isResume) {
			this._countMetric('stream_resumptions_total');
			await sleep(effect.delayMs);
		}

		if (this._endIfBlocked(signal)) {
			return;
		}

		const {quarantine} = this._services;
		const trackedDecode = quarantine.track(effect.upstream, effect.attemptId, this._request.chat.parts);
		try {
			const events = this._engineAdapter(effect.upstream).decode({
				requestId: effect.attemptId, owner: this._options.identity, maxTokens: this._request.maxTokens, after: effect.after,
			}, {signal, isNewConnection: effect.isResume, headers: this._traceHeaders});
			for await (const event of events) {
				trackedDecode.recordOutput();
				this._report(signal, {type: 'request/decode-event', event});
				await this._pendingWrite;
			}

			if (this._state.assembler.isComplete) {
				trackedDecode.endWithAnswer(true);
			} else {
				trackedDecode.end('broken');
			}

			this._report(signal, {type: 'request/decode-broken', failure: {kind: 'broken', mayHaveBeenSent: true}});
		} catch (err) {
			const failure = failureOf(err);
			this._recordFailure(trackedDecode, effect.upstream, failure, signal);
			this._report(signal, {type: 'request/decode-broken', failure});
		}
	}

	private _engineAdapter(name: string): EngineAdapter {
		return this._upstreams.getEngine(name);
	}

	private _recordTextTiming(): void {
		const nowMs = this._services.clock.nowMs();
		if (this._firstTextAtMs === undefined) {
			this._firstTextAtMs = nowMs;
		} else {
			this._services.metrics.observe('between_tokens_ms', nowMs - this._lastTextAtMs!, this._metricLabels);
		}

		this._lastTextAtMs = nowMs;
	}

	private _completeResponse(usage: Usage): void {
		const {writer: sink, maxTokens} = this._request;
		sink.complete(usage.outputTokens >= maxTokens ? 'length' : 'stop', usage);
		this._recordCompletion(usage);
	}

	/** Records the metrics of a complete request. The request counts towards goodput if its time to first token and its mean time between tokens met the targets of the profile. */
	private _recordCompletion(usage: Usage): void {
		const {exchange, profile, customer} = this._request;
		const {metrics} = this._services;
		const firstTokenMs = (this._firstTextAtMs ?? this._services.clock.nowMs()) - exchange.startedAtMs;
		const gapCount = Math.max(1, usage.outputTokens - 1);
		const meanGapMs = ((this._lastTextAtMs ?? 0) - (this._firstTextAtMs ?? 0)) / gapCount;
		metrics.observe('first_token_ms', firstTokenMs, this._metricLabels);
		metrics.count('output_tokens_total', this._metricLabels, usage.outputTokens);
		metrics.count('tenant_complete_total', {tenant: customer});
		if (firstTokenMs <= profile.latency.firstToken && meanGapMs <= profile.latency.betweenTokens) {
			this._countMetric('requests_within_targets_total');
			metrics.count('tenant_within_targets_total', {tenant: customer});
		}
	}

	private _sendRefusal({code, run, retryAfterMs}: Extract<ModelRequestEffect, {type: 'request/refuse'}>): void {
		const problem = createProblem(code, {run, ...(retryAfterMs !== undefined && {retryAfterMs})});
		this._request.writer.sendProblem(problem);
	}

	private get _traceHeaders(): string[] {
		const {requestId, traceparent} = this._request.exchange.traceIds;
		return ['x-request-id', requestId, 'traceparent', traceparent];
	}

	private get _metricLabels() {
		return {service: this._request.serviceName};
	}

	private _countMetric(name: string, by = 1): void {
		this._services.metrics.count(name, this._metricLabels, by);
	}
}
