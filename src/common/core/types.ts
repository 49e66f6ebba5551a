import type {LogLevel} from './log.js';

/** Name of a VM, unique in the cluster. */
export type VmId = string;

/** Identifies one run of the process on a VM: `incarnation` increases with each restart of the process. */
export type VmIdentity = {
	readonly vm: VmId;
	readonly incarnation: number;
};

/** Identifies a pending request, local or from another process, that a `ReplyEffect` answers. */
export type ReplyToken = number;

/**
Event for a reducer. It carries the time at which it was dispatched, so that reducers do not read a clock.
The part of `type` before the slash names the slice of the state that handles the event.
*/
export type BaseEvent<Type extends string> = {
	readonly type: Type;
	/** Monotonic time of this process when the event was dispatched, in milliseconds. */
	readonly nowMs: number;
};

/** An event without `nowMs`, which is added when the event is dispatched. */
export type UntimedEvent<E> = E extends unknown ? Omit<E, 'nowMs'> : never;

/** A message between processes of the cluster. The receiving subsystem validates it with the schema of its type. */
export type PeerMessage = {
	readonly [field: string]: unknown;
	readonly type: string;
};

/** Sends a one-way message to the process on the VM `to`; the message may be lost. */
export type SendEffect = {
	readonly type: 'send';
	readonly to: VmId;
	readonly message: PeerMessage;
};

/** Answers the pending request identified by `token` with `body`. */
export type ReplyEffect = {
	readonly type: 'reply';
	readonly token: ReplyToken;
	readonly body: unknown;
};

/** Tells the platform layer about a change: `topic` names the kind of change and determines the type of `value`. */
export type NotifyEffect = {
	readonly type: 'notify';
	readonly topic: string;
	readonly value: unknown;
};

/** Adds `by`, or 1 if it is absent, to a counter metric. */
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

/** Effects that every slice may return. The types of further effects begin with the name of the slice that returns them. */
export type CoreEffect = SendEffect | ReplyEffect | NotifyEffect | CountEffect | LogEffect;
