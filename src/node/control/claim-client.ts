import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {recordedBodyLimitBytes} from '../../common/control/messages.js';
import type {Outcome} from '../../common/control/messages.js';
import type {Clock} from '../../common/core/clock.js';
import {at, ProtocolError} from '../../common/core/errors.js';
import {ClaimService} from '../../common/services/claim-service.js';
import type {ClaimOutcome, ClaimRequest, ClaimResult} from '../../common/services/claim-service.js';
import type {ControlLink} from './control-link.js';

/** Bound on finding a quorum for a claim. */
const claimTimeoutMs = 3000;
/** Bound on recording how a claimed request ended; covers a failover. */
const settleTimeoutMs = 15_000;
/** Time between two questions about a claim that another entry process holds, doubled each time. */
const firstPollMs = 25;
const longestPollMs = 400;

export type ClaimClientOptions = {
	readonly link: ControlLink;
	readonly clock: Clock;
};

/** Claims on the control VMs. A claim's answer is polled, since only resends that overlap their first attempt wait for it. */
export class ClaimClient extends ClaimService {
	/** Granted claims whose outcome is not recorded yet; as many as requests in flight. */
	private readonly _granted = new Map<string, ClaimRequest>();

	constructor(private readonly _options: ClaimClientOptions) {
		super();
	}

	override async open(claim: ClaimRequest, maxWaitMs: number): Promise<ClaimResult> {
		const {clock} = this._options;
		const deadlineMs = clock.nowMs() + maxWaitMs;
		for (let pollMs = firstPollMs; ; pollMs = Math.min(2 * pollMs, longestPollMs)) {
			const result = await this._claim(claim);
			if (result !== 'pending') {
				return result;
			}

			const waited = await this._awaitSettlement(claim, deadlineMs, pollMs);
			if (waited !== 'absent') {
				return waited;
			}
		}
	}

	override async settle(claimId: string, outcome: ClaimOutcome): Promise<void> {
		const claim = this._granted.get(claimId);
		if (!claim) {
			throw new ProtocolError(`claim ${claimId} is not open at this process`, at({step: 'claim.settle'}));
		}

		try {
			await this._settle(claimId, claim, withinLimit(outcome));
		} finally {
			this._granted.delete(claimId);
		}
	}

	private async _claim(claim: ClaimRequest): Promise<ClaimResult | 'pending'> {
		const claimId = randomUUID();
		try {
			const outcome = await this._options.link.propose({type: 'claim.open', claimId, ...claim}, claimTimeoutMs);
			if (outcome.kind === 'claim-granted') {
				this._granted.set(claimId, claim);
				return {kind: 'granted', claimId};
			}

			return resultOf(outcome);
		} catch {
			// The claim may stand although nothing will be sent under it.
			void this._withdraw(claimId, claim);
			return {kind: 'unavailable'};
		}
	}

	private async _withdraw(claimId: string, claim: ClaimRequest): Promise<void> {
		try {
			await this._settle(claimId, claim, {kind: 'not-run'});
		} catch {
			// The claim stays open until it expires; resends learn that its outcome is unknown.
		}
	}

	private async _settle(claimId: string, {tenant, service, idempotencyKey}: ClaimRequest, outcome: ClaimOutcome): Promise<void> {
		await this._options.link.propose({
			type: 'claim.settle', claimId, tenant, service, idempotencyKey, outcome,
		}, settleTimeoutMs);
	}

	/** Asks until the other claimant's outcome is known; `absent` when its request did not run. */
	private async _awaitSettlement(claim: ClaimRequest, deadlineMs: number, firstMs: number): Promise<ClaimResult | 'absent'> {
		const {clock} = this._options;
		for (let pollMs = firstMs; clock.nowMs() < deadlineMs; pollMs = Math.min(2 * pollMs, longestPollMs)) {
			await delay(Math.min(pollMs, deadlineMs - clock.nowMs()));
			const result = await this._status(claim, deadlineMs);
			if (result !== 'pending') {
				return result;
			}
		}

		return {kind: 'unknown'};
	}

	/** Without an answer the claim counts as pending still: the other claimant may be running the request. */
	private async _status(claim: ClaimRequest, deadlineMs: number): Promise<ClaimResult | 'pending' | 'absent'> {
		const {clock, link} = this._options;
		try {
			const result = await link.read({what: 'claim', ...claim}, Math.max(1, deadlineMs - clock.nowMs()));
			const outcome: Outcome = result.what === 'claim' ? result.outcome : {kind: 'claim-unknown'};
			return outcome.kind === 'claim-absent' ? 'absent' : resultOf(outcome);
		} catch {
			return 'pending';
		}
	}
}

function resultOf(outcome: Outcome): ClaimResult | 'pending' {
	if (outcome.kind === 'claim-pending') {
		return 'pending';
	}

	if (outcome.kind === 'claim-recorded') {
		return {kind: 'recorded', outcome: outcome.outcome};
	}

	if (outcome.kind === 'claim-too-many') {
		return {kind: 'too-many', retryAfterMs: outcome.retryAfterMs};
	}

	return {kind: outcome.kind === 'claim-conflict' ? 'conflict' : 'unknown'};
}

/** A body above the recording limit is left out. */
function withinLimit(outcome: ClaimOutcome): ClaimOutcome {
	if (outcome.kind !== 'answered' || (outcome.outcome.body?.length ?? 0) <= recordedBodyLimitBytes) {
		return outcome;
	}

	const {status, headers} = outcome.outcome;
	return {kind: 'answered', outcome: {status, headers}};
}
