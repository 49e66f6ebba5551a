import type {LogLevel} from './log.js';

/** Name of a VM, unique in the cluster. */
export type VmId = string;

/** One run of the process on a VM. The incarnation increases with each restart. */
export type VmIdentity = {
	readonly vm: VmId;
	readonly incarnation: number;
};

/** Identifies the local or remote caller that waits for a `ReplyEffect`. */
export type ReplyToken = number;

/**
Every event carries the monotonic time of the process, so that reducers do not read a clock.
The part of `type` before the slash names the slice that handles the event.
*/
export type BaseEvent<Type extends string> = {
	readonly type: Type;
	/** Monotonic time of this process, in milliseconds. */
	readonly nowMs: number;
};

/** An event without its time, which is added when it is dispatched. */
export type UntimedEvent<E> = E extends unknown ? Omit<E, 'nowMs'> : never;

/** A message between processes. Each subsystem validates its message types with schemas. */
export type PeerMessage = {
	readonly [field: string]: unknown;
	readonly type: string;
};

/** Sends a one-way message, which may be lost, to another process. */
export type SendEffect = {
	readonly type: 'send';
	readonly to: VmId;
	readonly message: PeerMessage;
};

/** Replies to the caller identified by `token`. */
export type ReplyEffect = {
	readonly type: 'reply';
	readonly token: ReplyToken;
	readonly body: unknown;
};

/** Emits a typed event to the platform layer. */
export type NotifyEffect = {
	readonly type: 'notify';
	readonly topic: string;
	readonly value: unknown;
};

/** Adds to a counter metric. */
export type CountEffect = {
	readonly type: 'count';
	readonly metric: string;
	readonly labels?: Readonly<Record<string, string>>;
	readonly by?: number;
};

/** Writes a log line; used for state changes only. */
export type LogEffect = {
	readonly type: 'log';
	readonly level: LogLevel;
	readonly message: string;
	readonly fields?: Readonly<Record<string, unknown>>;
};

/** Effects that every slice may return. Slices add their own, prefixed with the slice's name. */
export type CoreEffect = SendEffect | ReplyEffect | NotifyEffect | CountEffect | LogEffect;
