import {setTimeout as sleep} from 'node:timers/promises';
import type {WithoutTime} from '../../common/core/types.js';
import type {ModelService, Profile} from '../../common/configuration/types.js';
import type {ModelEffect, ModelEvent, ModelState} from '../../common/requests/types.js';
import {createModelRequest, reduceModelRequest} from '../../common/requests/model-lifecycle.js';
import type {Acquisition} from '../../common/services/access-service.js';
import type {DecodeFailure, PlaceReply} from '../../common/services/scheduler-client.js';
import type {Usage} from '../../common/upstreams/engine-api.js';
import {estimateTokens, prefixHashes} from '../../common/upstreams/prefix.js';
import {failureOf} from '../upstreams/call-error.js';
import type {EngineAdapter} from '../upstreams/engine-adapter.js';
import type {UpstreamRegistry} from '../upstreams/upstream-registry.js';
import type {AnswerSink} from './answer-sink.js';
import type {Exchange} from './exchange.js';
import type {ChatRequest} from './chat.js';
import {problem} from './problems.js';
import type {EntryOptions, EntryServices} from './types.js';

/** A prefill may take this many times the target for the first token; behind it the engine counts as stalled. */
const prefillTargets = 4;
const minPrefillTimeoutMs = 2000;
/** Share of the time for which the prefill result is still held that one transfer may take, so that another can follow. */
const transferShare = 0.5;
const minTransferTimeoutMs = 50;
/** Retry delay where the scheduler cannot be asked, in milliseconds. */
const schedulerRetryMs = 1000;

export type ModelCall = {
	readonly exchange: Exchange;
	/** Unique in the system, unlike the request id that callers choose. */
	readonly engineRequestId: string;
	readonly tenant: string;
	readonly serviceName: string;
	readonly service: ModelService;
	readonly profile: Profile;
	readonly chat: ChatRequest;
	readonly maxTokens: number;
	/** Tokens taken from the tenant's allowance. */
	readonly acquisition: Acquisition | undefined;
	/** What is left of the profile's bound on waiting, in milliseconds. */
	readonly maxWaitMs: number;
	readonly sink: AnswerSink;
};

/** Runs one model request: executes the effects of its lifecycle and reports what comes of them. */
export class ModelRun {
	private readonly _state: ModelState;
	private readonly _promptTokens: number;
	private _call = new AbortController();
	private _firstTextAtMs: number | undefined;
	private _lastTextAtMs: number | undefined;
	private _startedAtMs = 0;
	private _writing: Promise<void> = Promise.resolve();
	private _finish!: () => void;

	constructor(
		private readonly _services: EntryServices,
		private readonly _options: EntryOptions,
		private readonly _upstreams: UpstreamRegistry,
		private readonly _request: ModelCall,
	) {
		this._promptTokens = estimateTokens(_request.chat.prompt);
		this._state = createModelRequest(_request.engineRequestId, _request.chat.isStreaming, this._promptTokens);
	}

	/** Time from the start of the run to the first text, in milliseconds; undefined without one. */
	get firstTextAfterMs(): number | undefined {
		return this._firstTextAtMs === undefined ? undefined : this._firstTextAtMs - this._startedAtMs;
	}

	/** Resolves when the request has ended for the caller and its engines have been told. */
	async run(): Promise<void> {
		const {exchange, profile} = this._request;
		this._startedAtMs = this._services.clock.nowMs();
		await new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				exchange.stop('deadline');
			}, profile.timeout);
			this._finish = () => {
				clearTimeout(timer);
				resolve();
			};

			exchange.onStop(reason => {
				this._dispatch({type: 'request/stopped', reason});
			});
			this._dispatch({type: 'request/start'});
		});
	}

	private _remainingMs(boundMs: number): number {
		return Math.max(1, boundMs - (this._services.clock.nowMs() - this._startedAtMs));
	}

	private _dispatch(event: WithoutTime<ModelEvent>): void {
		const effects = reduceModelRequest(this._state, {...event, nowMs: this._services.clock.nowMs()});
		for (const effect of effects) {
			this._execute(effect);
		}

		if (this._state.phase === 'ended') {
			// A complete stream is read to its end, so that its connection can be used again.
			if (!this._state.assembler.isComplete) {
				this._call.abort();
			}

			this._finish();
		}
	}

	private _execute(effect: ModelEffect): void {
		switch (effect.type) {
			case 'request/place': {
				void this._place(effect.attemptId);
				break;
			}

			case 'request/prefill': {
				void this._prefill(effect.attemptId, effect.upstream);
				break;
			}

			case 'request/import': {
				void this._import(effect);
				break;
			}

			case 'request/replace': {
				void this._replace(effect.reservation, effect.failure);
				break;
			}

			case 'request/decode': {
				void this._decode(effect);
				break;
			}

			case 'request/text': {
				this._noteText();
				this._writing = this._request.sink.text(effect.text);
				break;
			}

			case 'request/restart': {
				this._firstTextAtMs = undefined;
				this._request.sink.restart();
				this._count('prefill_recomputations_total');
				break;
			}

			case 'request/complete': {
				this._complete(effect.usage);
				break;
			}

			case 'request/refuse': {
				this._refuse(effect);
				break;
			}

			case 'request/cancel': {
				for (const upstream of effect.upstreams) {
					this._upstreams.cancel(upstream, effect.attemptId, effect.inDoubt);
				}

				break;
			}

			case 'request/progress': {
				this._services.scheduler.progress(effect.progress);
				break;
			}

			case 'request/settle': {
				if (this._request.acquisition) {
					this._services.access.settle(this._request.acquisition, effect.tokens);
				}

				break;
			}

			case 'request/wasted-prefill': {
				this._count('prefill_tokens_wasted_total', effect.tokens);
				break;
			}
		}
	}

	/** The signal of the only call under way; starting one gives up the call before it. */
	private _startCall(): AbortSignal {
		this._call.abort();
		this._call = new AbortController();
		return this._call.signal;
	}

	/** Reports an outcome unless its call was given up meanwhile. */
	private _report(signal: AbortSignal, event: WithoutTime<ModelEvent>): void {
		if (!signal.aborted) {
			this._dispatch(event);
		}
	}

	private async _place(attemptId: string): Promise<void> {
		const signal = this._startCall();
		const {
			serviceName, tenant, profile, chat, maxTokens, maxWaitMs, exchange,
		} = this._request;
		const elapsedMs = this._services.clock.nowMs() - exchange.startedAtMs;
		const reply = await this._askScheduler(async () => this._services.scheduler.place({
			requestId: attemptId,
			service: serviceName,
			tenant,
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
			// The caller left while the placement was on its way.
			this._giveBack(reply.placement.reservation);
			return;
		}

		// The view may have become too old while the request waited for its placement.
		if (reply.kind === 'placed' && !this._services.access.isFresh()) {
			this._giveBack(reply.placement.reservation);
			exchange.stop('stale-view');
			return;
		}

		this._report(signal, {type: 'request/placed', reply});
	}

	private async _askScheduler(ask: () => Promise<PlaceReply>): Promise<PlaceReply> {
		try {
			return await ask();
		} catch (err) {
			this._services.logger.log('debug', 'scheduler did not answer', {err});
			return {kind: 'refused', code: 'no-upstream', retryAfterMs: schedulerRetryMs};
		}
	}

	private async _prefill(attemptId: string, upstream: string): Promise<void> {
		const signal = this._startCall();
		const {chat, service, profile} = this._request;
		const timeoutMs = Math.min(Math.max(profile.latency.firstToken * prefillTargets, minPrefillTimeoutMs), this._remainingMs(profile.timeout));
		try {
			const reply = await this._engine(upstream).prefill({
				requestId: attemptId, owner: this._options.identity, model: service.model, prompt: chat.prompt, priority: profile.priority,
			}, {timeoutMs, signal, headers: this._traceHeaders});
			this._count('prefill_tokens_total', reply.promptTokens - reply.cachedTokens);
			this._report(signal, {type: 'request/prefilled', reply});
		} catch (err) {
			this._report(signal, {type: 'request/prefill-failed', failure: failureOf(err)});
		}
	}

	private async _import(effect: Extract<ModelEffect, {type: 'request/import'}>): Promise<void> {
		const signal = this._startCall();
		const heldMs = this._state.prefillExpiresAtMs - this._services.clock.nowMs();
		try {
			const source = this._engine(effect.source).address;
			await this._engine(effect.upstream).importCache({
				requestId: effect.attemptId, owner: this._options.identity, source, handle: effect.handle,
			}, {timeoutMs: Math.max(heldMs * transferShare, minTransferTimeoutMs), signal, headers: this._traceHeaders});
			this._report(signal, {type: 'request/imported'});
		} catch (err) {
			this._report(signal, {type: 'request/import-failed', failure: failureOf(err)});
		}
	}

	private async _replace(reservation: string, failure: DecodeFailure): Promise<void> {
		const signal = this._startCall();
		this._count('transfer_retries_total');
		const reply = await this._askScheduler(async () => this._services.scheduler.replaceDecode(reservation, failure));
		if (signal.aborted && reply.kind === 'placed' && reply.placement.reservation !== reservation) {
			this._giveBack(reply.placement.reservation);
		}

		this._report(signal, {type: 'request/replaced', reply});
	}

	/** Ends a reservation that the lifecycle never got to know. */
	private _giveBack(reservation: string): void {
		this._services.scheduler.progress({
			phase: 'ended', reservation, outputTokens: 0, reason: 'cancelled',
		});
	}

	private async _decode(effect: Extract<ModelEffect, {type: 'request/decode'}>): Promise<void> {
		const signal = this._startCall();
		if (effect.isResume) {
			this._count('stream_resumptions_total');
			await sleep(effect.delayMs);
		}

		try {
			const events = this._engine(effect.upstream).decode({
				requestId: effect.attemptId, owner: this._options.identity, maxTokens: this._request.maxTokens, after: effect.after,
			}, {signal, isNewConnection: effect.isResume, headers: this._traceHeaders});
			for await (const event of events) {
				this._report(signal, {type: 'request/decode-event', event});
				await this._writing;
			}

			this._report(signal, {type: 'request/decode-broken', failure: {kind: 'broken', maySent: true}});
		} catch (err) {
			this._report(signal, {type: 'request/decode-broken', failure: failureOf(err)});
		}
	}

	private _engine(name: string): EngineAdapter {
		return this._upstreams.engine(name);
	}

	private _noteText(): void {
		const nowMs = this._services.clock.nowMs();
		if (this._firstTextAtMs === undefined) {
			this._firstTextAtMs = nowMs;
		} else {
			this._services.metrics.observe('between_tokens_ms', nowMs - this._lastTextAtMs!, this._labels);
		}

		this._lastTextAtMs = nowMs;
	}

	private _complete(usage: Usage): void {
		const {sink, maxTokens} = this._request;
		sink.complete(usage.outputTokens >= maxTokens ? 'length' : 'stop', usage);
		this._measure(usage);
	}

	/** Counts towards goodput if the first token and the mean gap between tokens met their targets. */
	private _measure(usage: Usage): void {
		const {exchange, profile, tenant} = this._request;
		const {metrics} = this._services;
		const firstMs = (this._firstTextAtMs ?? this._services.clock.nowMs()) - exchange.startedAtMs;
		const gaps = Math.max(1, usage.outputTokens - 1);
		const meanGapMs = ((this._lastTextAtMs ?? 0) - (this._firstTextAtMs ?? 0)) / gaps;
		metrics.observe('first_token_ms', firstMs, this._labels);
		metrics.count('output_tokens_total', this._labels, usage.outputTokens);
		metrics.count('tenant_complete_total', {tenant});
		if (firstMs <= profile.latency.firstToken && meanGapMs <= profile.latency.betweenTokens) {
			this._count('requests_within_targets_total');
			metrics.count('tenant_within_targets_total', {tenant});
		}
	}

	private _refuse({code, run, retryAfterMs}: Extract<ModelEffect, {type: 'request/refuse'}>): void {
		const document = problem(code, {run, ...(retryAfterMs !== undefined && {retryAfterMs})});
		this._request.sink.refuse(document);
	}

	private get _traceHeaders(): string[] {
		const {requestId, traceparent} = this._request.exchange.ids;
		return ['x-request-id', requestId, 'traceparent', traceparent];
	}

	private get _labels() {
		return {service: this._request.serviceName};
	}

	private _count(name: string, by = 1): void {
		this._services.metrics.count(name, this._labels, by);
	}
}
