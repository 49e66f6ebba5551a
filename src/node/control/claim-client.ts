import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {maxRecordedBodyBytes} from '../../common/control/messages.js';
import type {Outcome} from '../../common/control/messages.js';
import type {Clock} from '../../common/core/clock.js';
import {errorContext, ProtocolError} from '../../common/core/errors.js';
import {ClaimService} from '../../common/services/claim-service.js';
import type {ClaimSettlement, ClaimRequest, ClaimResult} from '../../common/services/claim-service.js';
import type {ControlLeaderClient} from './control-leader-client.js';

/** Timeout for opening a claim on a quorum. */
const claimTimeoutMs = 3000;
/** Timeout for recording the outcome of a claimed request; covers a failover of the leader. */
const settleTimeoutMs = 15_000;
/** Interval before the first status query for a claim that another entry process holds; doubled after each query. */
const initialPollIntervalMs = 25;
const maxPollIntervalMs = 400;

export type ClaimClientOptions = {
	readonly leaderClient: ControlLeaderClient;
	readonly clock: Clock;
};

/** Opens and settles claims on the control VMs. Polls for the outcome of another process's claim, since only a resend that overlaps its first attempt waits for one. */
export class ClaimClient extends ClaimService {
	/** Granted claims whose outcome is not recorded yet, by claim id; no more than there are in-flight requests. */
	private readonly _grantedClaims = new Map<string, ClaimRequest>();

	constructor(private readonly _options: ClaimClientOptions) {
		super();
	}

	override async claim(claim: ClaimRequest, maxWaitMs: number): Promise<ClaimResult> {
		const {clock} = this._options;
		const deadlineMs = clock.nowMs() + maxWaitMs;
		for (let pollIntervalMs = initialPollIntervalMs; ; pollIntervalMs = Math.min(2 * pollIntervalMs, maxPollIntervalMs)) {
			const result = await this._tryOpen(claim);
			if (result !== 'pending') {
				return result;
			}

			const settlement = await this._awaitSettlement(claim, deadlineMs, pollIntervalMs);
			if (settlement !== 'absent') {
				return settlement;
			}
		}
	}

	override async settle(claimId: string, outcome: ClaimSettlement): Promise<void> {
		const claim = this._grantedClaims.get(claimId);
		if (!claim) {
			throw new ProtocolError(`claim ${claimId} was not granted to this process or is already settled`, errorContext({step: 'claim.settle'}));
		}

		try {
			await this._settle(claimId, claim, omitOversizedBody(outcome));
		} finally {
			this._grantedClaims.delete(claimId);
		}
	}

	private async _tryOpen(claim: ClaimRequest): Promise<ClaimResult | 'pending'> {
		const claimId = randomUUID();
		try {
			const outcome = await this._options.leaderClient.propose({type: 'claim.open', claimId, ...claim}, claimTimeoutMs);
			if (outcome.kind === 'claim-granted') {
				this._grantedClaims.set(claimId, claim);
				return {kind: 'granted', claimId};
			}

			return toClaimResult(outcome);
		} catch {
			// The claim may have been committed, although the request will not be sent.
			void this._withdraw(claimId, claim);
			return {kind: 'unavailable'};
		}
	}

	private async _withdraw(claimId: string, claim: ClaimRequest): Promise<void> {
		try {
			await this._settle(claimId, claim, {kind: 'not-run'});
		} catch {
			// The claim stays open until it expires; resends are told that its outcome is unknown.
		}
	}

	private async _settle(claimId: string, {tenant, service, idempotencyKey}: ClaimRequest, outcome: ClaimSettlement): Promise<void> {
		await this._options.leaderClient.propose({
			type: 'claim.settle', claimId, tenant, service, idempotencyKey, outcome,
		}, settleTimeoutMs);
	}

	/** Polls until the other claimant's outcome is known or the deadline has passed. Returns `absent` if the other claimant's request did not run. */
	private async _awaitSettlement(claim: ClaimRequest, deadlineMs: number, firstIntervalMs: number): Promise<ClaimResult | 'absent'> {
		const {clock} = this._options;
		for (let pollIntervalMs = firstIntervalMs; clock.nowMs() < deadlineMs; pollIntervalMs = Math.min(2 * pollIntervalMs, maxPollIntervalMs)) {
			await delay(Math.min(pollIntervalMs, deadlineMs - clock.nowMs()));
			const result = await this._queryStatus(claim, deadlineMs);
			if (result !== 'pending') {
				return result;
			}
		}

		return {kind: 'unknown'};
	}

	/** Queries the state of a claim. Returns `pending` if no answer arrives, since the other claimant may still be running the request. */
	private async _queryStatus(claim: ClaimRequest, deadlineMs: number): Promise<ClaimResult | 'pending' | 'absent'> {
		const {clock, leaderClient} = this._options;
		try {
			const result = await leaderClient.read({what: 'claim', ...claim}, Math.max(1, deadlineMs - clock.nowMs()));
			const outcome: Outcome = result.what === 'claim' ? result.outcome : {kind: 'claim-unknown'};
			return outcome.kind === 'claim-absent' ? 'absent' : toClaimResult(outcome);
		} catch {
			return 'pending';
		}
	}
}

function toClaimResult(outcome: Outcome): ClaimResult | 'pending' {
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

/** Leaves out a body that is larger than the recording limit. */
function omitOversizedBody(outcome: ClaimSettlement): ClaimSettlement {
	if (outcome.kind !== 'answered' || (outcome.outcome.body?.length ?? 0) <= maxRecordedBodyBytes) {
		return outcome;
	}

	const {status, headers} = outcome.outcome;
	return {kind: 'answered', outcome: {status, headers}};
}
