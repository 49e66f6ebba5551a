import {setTimeout as delay} from 'node:timers/promises';
import type {z} from 'zod';
import type {Clock} from '../../common/core/clock.js';
import type {PeerMessage, VmId} from '../../common/core/types.js';
import {proposeReplySchema, readReplySchema} from '../../common/control/messages.js';
import type {
	Command, Outcome, ReadQuery, ReadResult,
} from '../../common/control/messages.js';
import {errorContext, TimeoutError} from '../../common/core/errors.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';

/** Time after which an unanswered request is sent to another control VM, in milliseconds; a commit takes only tens of milliseconds. */
const attemptTimeoutMs = 1000;
/** Delay before the next attempt when no control VM is known to be the leader, in milliseconds. */
const retryDelayMs = 50;
/** Maximum number of leader hints that are followed in a row without a delay. */
const maxRedirects = 2;

type LeaderReplySchema = z.ZodType<{kind: string; leader?: VmId}>;

type Timeouts = {
	readonly timeoutMs: number;
	/** Time after which another control VM is asked in addition, in milliseconds; doubles with each attempt, up to the time that an attempt has. */
	readonly firstPatienceMs: number;
};

/** Reply of the control VM that was asked; undefined if there was none. */
type Attempt<R> = {readonly target: VmId; readonly reply: R | undefined};

export type ControlLeaderClientOptions = {
	readonly network: PeerNetwork;
	readonly clock: Clock;
	/** Control VMs, in the order in which they are tried. */
	readonly controlVms: readonly VmId[];
};

/** Sends proposals and reads to the leader. Follows leader hints, and tries the next control VM if the current one does not answer. */
export class ControlLeaderClient {
	/** Control VM that receives the next request; undefined while no control VM is known. */
	private _target: VmId | undefined;
	private _controlVms: readonly VmId[];

	constructor(private readonly _options: ControlLeaderClientOptions) {
		this._controlVms = _options.controlVms;
		this._target = _options.controlVms[0];
	}

	/** Replaces the list of control VMs after a membership change. */
	setControlVms(vms: readonly VmId[]): void {
		this._controlVms = vms;
		this._target ??= vms[0];
	}

	/**
	Proposes a command until its outcome is known.
	The command may be sent several times; its change id, claim id or lease holder makes repetitions harmless.
	Rejects with `TimeoutError` if the outcome is not known in time; the command may still have taken effect.
	*/
	async propose(command: Command, timeoutMs: number): Promise<Outcome> {
		const reply = await this._requestFromLeader({type: 'control/propose', command}, proposeReplySchema, 'outcome', {timeoutMs, firstPatienceMs: attemptTimeoutMs});
		return (reply as {outcome: Outcome}).outcome;
	}

	/**
	Reads the replicated state, including everything committed before the query arrived. Rejects with `TimeoutError` if no leader answers in time.
	If the first control VM has not answered after `firstPatienceMs` milliseconds, another one is asked in addition, and the first result counts.
	*/
	async read(query: ReadQuery, timeoutMs: number, firstPatienceMs = attemptTimeoutMs): Promise<ReadResult> {
		const reply = await this._requestFromLeader({type: 'control/read', query}, readReplySchema, 'result', {timeoutMs, firstPatienceMs});
		return (reply as {result: ReadResult}).result;
	}

	private async _requestFromLeader<S extends LeaderReplySchema>(message: PeerMessage, schema: S, expectedKind: string, {timeoutMs, firstPatienceMs}: Timeouts): Promise<z.output<S>> {
		const {clock} = this._options;
		const deadlineMs = clock.nowMs() + timeoutMs;
		let redirects = 0;
		let patienceMs = firstPatienceMs;
		// Results of all attempts so far; those without a result stay pending.
		const results: Array<Promise<Attempt<z.output<S>>>> = [];
		for (let remainingMs = timeoutMs; remainingMs > 0; remainingMs = deadlineMs - clock.nowMs()) {
			const target = this._target;
			let outcome: Attempt<z.output<S>> | undefined;
			if (target !== undefined) {
				const attempt = this._tryRequest(target, message, schema, Math.min(remainingMs, attemptTimeoutMs));
				results.push(resultOf(attempt, expectedKind));
				outcome = await raceFor([attempt, ...results], Math.min(remainingMs, patienceMs));
			}

			patienceMs = Math.min(patienceMs * 2, attemptTimeoutMs);
			const reply = outcome?.reply;
			if (reply?.kind === expectedKind) {
				this._switchTarget(target, outcome!.target);
				return reply;
			}

			const isHinted = reply?.leader !== undefined && reply.leader !== target;
			redirects = isHinted ? redirects + 1 : 0;
			this._switchTarget(target, isHinted ? reply.leader : undefined);
			if (!isHinted || redirects > maxRedirects) {
				await delay(Math.min(retryDelayMs, Math.max(0, deadlineMs - clock.nowMs())));
			}
		}

		throw new TimeoutError(`no control VM answered within ${timeoutMs} ms`, errorContext({step: message.type, peer: this._target}));
	}

	private async _tryRequest<S extends LeaderReplySchema>(target: VmId, message: PeerMessage, schema: S, timeoutMs: number): Promise<Attempt<z.output<S>>> {
		try {
			return {target, reply: schema.parse(await this._options.network.request(target, message, timeoutMs))};
		} catch {
			// The control VM is unreachable or slow, or its reply is invalid; another one may answer.
			return {target, reply: undefined};
		}
	}

	/** Switches from `target` to the control VM `hint`, or to the next control VM in the list without a hint. Does nothing if another call has switched in the meantime. */
	private _switchTarget(target: VmId | undefined, hint: VmId | undefined): void {
		if (this._target === target) {
			this._target = hint ?? this._controlVms[(this._controlVms.indexOf(target ?? '') + 1) % this._controlVms.length];
		}
	}
}

/** Settles like the attempt if its reply is of the expected kind, and else never. */
async function resultOf<R extends {kind: string}>(attempt: Promise<Attempt<R>>, expectedKind: string): Promise<Attempt<R>> {
	const outcome = await attempt;
	return outcome.reply?.kind === expectedKind ? outcome : new Promise(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function -- never settles
}

/** Returns what the first of the promises resolves with, or undefined after `timeoutMs` milliseconds. */
async function raceFor<T>(promises: ReadonlyArray<Promise<T>>, timeoutMs: number): Promise<T | undefined> {
	let timer: NodeJS.Timeout | undefined;
	const expiry = new Promise<undefined>(resolve => {
		timer = setTimeout(resolve, timeoutMs, undefined);
	});
	try {
		return await Promise.race([...promises, expiry]);
	} finally {
		clearTimeout(timer);
	}
}
