import type {Clock} from '../../common/core/clock.js';
import {errorContext, TimeoutError} from '../../common/core/errors.js';
import type {ControlAdminClient} from './control-admin-client.js';

/** Time after which an unanswered read is also sent to another control VM, in milliseconds; it doubles with each attempt. Short, so that a lost leader is passed over while the operator still waits. */
const readPatienceMs = 250;

/** An operator's order to evacuate an availability zone, or to withdraw its evacuation. */
export type EvacuationOrder = {
	readonly zone: string;
	readonly isEvacuated: boolean;
	/** Returns whether the operator still waits for the answer to this call. */
	readonly isAwaited: () => boolean;
};

/**
How an order ended: `done` once a quorum has stored what the order asks for, `abandoned` if the operator left before anything was
proposed, or `refused` with a code.
*/
export type EvacuationResult =
	| {readonly kind: 'done'; readonly revision: number; readonly isChanged: boolean}
	| {readonly kind: 'abandoned'}
	| {readonly kind: 'refused'; readonly code: string};

/**
Carries out operators' orders to evacuate zones. Operators number neither their orders nor the copies that they send to several
processes, so a copy could be delayed until after a later order for the same zone. An order is therefore proposed only while its
operator waits for it, and only if the zone has not changed since a read that began after the order had arrived.
*/
export class EvacuationOrders {
	constructor(private readonly _adminClient: Pick<ControlAdminClient, 'readDrains' | 'setEvacuation'>, private readonly _clock: Clock) {}

	/** Carries out an order. Rejects with `TimeoutError` if its outcome is not known within `timeoutMs`; the order may still take effect. */
	async execute({zone, isEvacuated, isAwaited}: EvacuationOrder, timeoutMs: number): Promise<EvacuationResult> {
		const deadlineMs = this._clock.nowMs() + timeoutMs;
		for (;;) {
			const {drains, revision} = await this._adminClient.readDrains(this._remainingMs(deadlineMs), readPatienceMs);
			if (drains.some(({target, name}) => target === 'zone' && name === zone) === isEvacuated) {
				return {kind: 'done', revision, isChanged: false};
			}

			if (!isAwaited()) {
				return {kind: 'abandoned'};
			}

			const result = await this._adminClient.setEvacuation(zone, isEvacuated, revision, this._remainingMs(deadlineMs));
			if (result.kind === 'done') {
				return {...result, isChanged: true};
			}

			if (result.code !== 'stale') {
				return result;
			}
		}
	}

	private _remainingMs(deadlineMs: number): number {
		const remainingMs = deadlineMs - this._clock.nowMs();
		if (remainingMs <= 0) {
			throw new TimeoutError('the order was not carried out in time', errorContext({step: 'evacuation'}));
		}

		return remainingMs;
	}
}
