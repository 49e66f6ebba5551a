import type {Clock} from '../common/core/clock.js';
import type {
	BaseEvent, ReplyEffect, ReplyToken, UntimedEvent,
} from '../common/core/types.js';
import {errorContext, TimeoutError} from '../common/core/errors.js';

type AnyEffect = {readonly type: string};
type PendingReply = {resolve: (body: unknown) => void; timer: NodeJS.Timeout};

/** Runs a reducer: adds the current time to events, processes them one at a time and executes the effects that the reducer returns. */
export class ReducerRuntime<Event extends BaseEvent<string>, Effect extends AnyEffect> {
	private readonly _handlers = new Map<string, (effect: Effect) => void>();
	private readonly _pendingReplies = new Map<ReplyToken, PendingReply>();
	private readonly _queue: Event[] = [];
	private _isRunning = false;
	private _nextToken = 1;

	constructor(private readonly _reduce: (event: Event) => readonly Effect[], private readonly _clock: Clock) {
		this._handlers.set('reply', effect => {
			this._resolveReply(effect as unknown as ReplyEffect);
		});
	}

	/** Registers the handler of one effect type, in place of any handler registered before. An effect without a handler is a programming error: `dispatch` throws. */
	on<T extends Effect['type']>(type: T, handler: (effect: Extract<Effect, {type: T}>) => void): void {
		this._handlers.set(type, handler as (effect: Effect) => void);
	}

	/** Processes an event and its effects. An event that is dispatched while another event is being processed is queued and processed afterwards. */
	dispatch(event: UntimedEvent<Event>): void {
		this._queue.push({...event, nowMs: this._clock.nowMs()} as unknown as Event);
		if (this._isRunning) {
			return;
		}

		this._isRunning = true;
		try {
			for (let next = this._queue.shift(); next !== undefined; next = this._queue.shift()) {
				for (const effect of this._reduce(next)) {
					this._execute(effect);
				}
			}
		} finally {
			this._isRunning = false;
		}
	}

	/** Dispatches an event with a new token and resolves with the body of the reply effect for that token. Rejects with `TimeoutError` if there is no such effect within `timeoutMs` milliseconds. */
	async request<T>(makeEvent: (token: ReplyToken) => UntimedEvent<Event>, timeoutMs: number): Promise<T> {
		const token = this._nextToken++;
		return new Promise<T>((resolve, reject) => {
			const timer = setTimeout(() => {
				this._pendingReplies.delete(token);
				reject(new TimeoutError(`no reply within ${timeoutMs} ms`, errorContext({step: 'runtime.ask'})));
			}, timeoutMs);
			this._pendingReplies.set(token, {resolve: resolve as (body: unknown) => void, timer});
			this.dispatch(makeEvent(token));
		});
	}

	private _execute(effect: Effect): void {
		const handler = this._handlers.get(effect.type);
		if (!handler) {
			throw new Error(`no handler for effect "${effect.type}"`);
		}

		handler(effect);
	}

	private _resolveReply({token, body}: ReplyEffect): void {
		const pendingReply = this._pendingReplies.get(token);
		if (pendingReply) {
			this._pendingReplies.delete(token);
			clearTimeout(pendingReply.timer);
			pendingReply.resolve(body);
		}
	}
}
