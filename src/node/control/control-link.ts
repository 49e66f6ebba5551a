import {setTimeout as delay} from 'node:timers/promises';
import type {z} from 'zod';
import type {Clock} from '../../common/core/clock.js';
import type {PeerMessage, VmId} from '../../common/core/types.js';
import {proposeReplySchema, readReplySchema} from '../../common/control/messages.js';
import type {
	Command, Outcome, ReadQuery, ReadResult,
} from '../../common/control/messages.js';
import {at, TimeoutError} from '../../common/core/errors.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';

/** A control VM that does not answer for this long is left for another; a commit takes tens of milliseconds. */
const attemptTimeoutMs = 1000;
/** Pause before the next control VM is tried when none is known to lead. */
const retryGapMs = 50;
/** Hints followed in a row without a pause. */
const hopLimit = 2;

export type ControlLinkOptions = {
	readonly network: PeerNetwork;
	readonly clock: Clock;
	/** Control VMs, in the order in which they are tried. */
	readonly controlVms: readonly VmId[];
};

/** Finds the leader for proposals and reads, following hints and trying the next control VM on silence. */
export class ControlLink {
	/** Undefined while no control VM is known. */
	private _target: VmId | undefined;
	private _controlVms: readonly VmId[];

	constructor(private readonly _options: ControlLinkOptions) {
		this._controlVms = _options.controlVms;
		this._target = _options.controlVms[0];
	}

	/** Replaces the control VMs after a change of membership. */
	setControlVms(vms: readonly VmId[]): void {
		this._controlVms = vms;
		this._target ??= vms[0];
	}

	/**
	Proposes a command until its outcome is known.
	The command may be sent several times: each has a change id, claim id or holder that makes a resend harmless.
	Rejects with `TimeoutError`; the command may have taken effect then.
	*/
	async propose(command: Command, timeoutMs: number): Promise<Outcome> {
		const reply = await this._call({type: 'control/propose', command}, proposeReplySchema, 'outcome', timeoutMs);
		return (reply as {outcome: Outcome}).outcome;
	}

	/** Reads the state that was committed when the question arrived. Rejects with `TimeoutError`. */
	async read(query: ReadQuery, timeoutMs: number): Promise<ReadResult> {
		const reply = await this._call({type: 'control/read', query}, readReplySchema, 'result', timeoutMs);
		return (reply as {result: ReadResult}).result;
	}

	private async _call<S extends z.ZodType<{kind: string; leader?: VmId}>>(message: PeerMessage, schema: S, wanted: string, timeoutMs: number): Promise<z.output<S>> {
		const {clock} = this._options;
		const deadlineMs = clock.nowMs() + timeoutMs;
		let hops = 0;
		for (let leftMs = timeoutMs; leftMs > 0; leftMs = deadlineMs - clock.nowMs()) {
			const target = this._target;
			const reply = target === undefined ? undefined : await this._attempt(target, message, schema, Math.min(leftMs, attemptTimeoutMs));
			if (reply?.kind === wanted) {
				return reply;
			}

			const isHinted = reply?.leader !== undefined && reply.leader !== target;
			hops = isHinted ? hops + 1 : 0;
			this._leave(target, isHinted ? reply.leader : undefined);
			if (!isHinted || hops > hopLimit) {
				await delay(Math.min(retryGapMs, Math.max(0, deadlineMs - clock.nowMs())));
			}
		}

		throw new TimeoutError(`no control VM answered within ${timeoutMs} ms`, at({step: message.type, peer: this._target}));
	}

	private async _attempt<S extends z.ZodType>(target: VmId, message: PeerMessage, schema: S, timeoutMs: number): Promise<z.output<S> | undefined> {
		try {
			return schema.parse(await this._options.network.request(target, message, timeoutMs));
		} catch {
			// Unreachable, slow or not understood: another control VM may answer.
			return undefined;
		}
	}

	/** Another call may have found the leader in the meantime. */
	private _leave(target: VmId | undefined, hint: VmId | undefined): void {
		if (this._target === target) {
			this._target = hint ?? this._controlVms[(this._controlVms.indexOf(target ?? '') + 1) % this._controlVms.length];
		}
	}
}
