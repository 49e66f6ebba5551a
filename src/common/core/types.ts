import type {LogLevel} from './log.js';

/** Name of a VM, unique in the cluster. */
export type VmId = string;

/** One run of the process on a VM; a restart has a higher incarnation. */
export type VmIdentity = {
	readonly vm: VmId;
	readonly incarnation: number;
};

/** Identifies the caller, local or remote, that waits for a reply effect. */
export type ReplyToken = number;

/**
Every event carries the receiver's monotonic time, so reducers read no clock.
The part of `type` before the slash names the slice that handles the event.
*/
export type BaseEvent<Type extends string> = {
	readonly type: Type;
	/** Monotonic milliseconds of this process. */
	readonly nowMs: number;
};

/** An event before the receiver's time is added. */
export type WithoutTime<E> = E extends unknown ? Omit<E, 'nowMs'> : never;

/** A message between processes; each subsystem validates its own types by schema. */
export type PeerMessage = {
	readonly [field: string]: unknown;
	readonly type: string;
};

/** Sends a one-way message to another process; it may be lost. */
export type SendEffect = {
	readonly type: 'send';
	readonly to: VmId;
	readonly message: PeerMessage;
};

/** Answers the caller that waits behind `token`. */
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

/** Writes a log line; only for changes of state. */
export type LogEffect = {
	readonly type: 'log';
	readonly level: LogLevel;
	readonly message: string;
	readonly fields?: Readonly<Record<string, unknown>>;
};

/** Effects that every slice may return. Slices add their own, prefixed with the slice's name. */
export type CoreEffect = SendEffect | ReplyEffect | NotifyEffect | CountEffect | LogEffect;
