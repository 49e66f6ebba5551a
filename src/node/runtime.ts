import type {Clock} from '../common/core/clock.js';
import type {
	BaseEvent, ReplyEffect, ReplyToken, WithoutTime,
} from '../common/core/types.js';
import {at, TimeoutError} from '../common/core/errors.js';

type AnyEffect = {readonly type: string};
type Waiter = {resolve: (body: unknown) => void; timer: NodeJS.Timeout};

/** Hosts a reducer: stamps events with the time, runs them one at a time and executes the effects they return. */
export class Runtime<Event extends BaseEvent<string>, Effect extends AnyEffect> {
	private readonly _handlers = new Map<string, (effect: Effect) => void>();
	private readonly _waiters = new Map<ReplyToken, Waiter>();
	private readonly _queue: Event[] = [];
	private _isRunning = false;
	private _nextToken = 1;

	constructor(private readonly _reduce: (event: Event) => readonly Effect[], private readonly _clock: Clock) {
		this._handlers.set('reply', effect => {
			this._resolve(effect as unknown as ReplyEffect);
		});
	}

	/** Registers the executor of one effect type. An effect without one is a programming error and throws. */
	on<T extends Effect['type']>(type: T, handler: (effect: Extract<Effect, {type: T}>) => void): void {
		this._handlers.set(type, handler as (effect: Effect) => void);
	}

	/** Runs an event and its effects; an event dispatched by an effect runs after the current one. */
	dispatch(event: WithoutTime<Event>): void {
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

	/** Dispatches the event made for a fresh token and resolves with the reply effect's body. Rejects with `TimeoutError`. */
	async ask<T>(makeEvent: (token: ReplyToken) => WithoutTime<Event>, timeoutMs: number): Promise<T> {
		const token = this._nextToken++;
		return new Promise<T>((resolve, reject) => {
			const timer = setTimeout(() => {
				this._waiters.delete(token);
				reject(new TimeoutError(`no reply within ${timeoutMs} ms`, at({step: 'runtime.ask'})));
			}, timeoutMs);
			this._waiters.set(token, {resolve: resolve as (body: unknown) => void, timer});
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

	private _resolve({token, body}: ReplyEffect): void {
		const waiter = this._waiters.get(token);
		if (waiter) {
			this._waiters.delete(token);
			clearTimeout(waiter.timer);
			waiter.resolve(body);
		}
	}
}
