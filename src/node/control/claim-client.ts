import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {maxRecordedBodyBytes} from '../../common/control/messages.js';
import type {Outcome} from '../../common/control/messages.js';
import type {Clock} from '../../common/core/clock.js';
import {errorContext, ProtocolError} from '../../common/core/errors.js';
import {ClaimService} from '../../common/services/claim-service.js';
import type {ClaimSettlement, ClaimRequest, ClaimResult} from '../../common/services/claim-service.js';
import type {ControlLeaderClient} from './control-leader-client.js';

/** Timeout for opening a claim, which a quorum has to store, in milliseconds. */
const claimTimeoutMs = 3000;
/** Timeout for recording the outcome of a claimed request, in milliseconds; long enough for a failover of the leader. */
const settleTimeoutMs = 15_000;
/** Time before the first status query for a claim that another entry process holds, in milliseconds; doubled after each query. */
const initialPollIntervalMs = 25;
/** Maximum time between two status queries for a claim, in milliseconds. */
const maxPollIntervalMs = 400;

export type ClaimClientOptions = {
	readonly leaderClient: ControlLeaderClient;
	readonly clock: Clock;
};

/** Opens and settles claims on the control VMs. Polls for the outcome of another process's claim; this is rare, since only a request that is resent while its first attempt is running has to wait. */
export class ClaimClient extends ClaimService {
	/** Granted claims whose outcome is not recorded yet, by claim id; at most one for each in-flight request. */
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
			// The claim may have been committed although its reply was lost. It is withdrawn, since the request will not be sent.
			void this._withdraw(claimId, claim);
			return {kind: 'unavailable'};
		}
	}

	private async _withdraw(claimId: string, claim: ClaimRequest): Promise<void> {
		try {
			await this._settle(claimId, claim, {kind: 'not-run'});
		} catch {
			// The failure is ignored: the claim stays open until it expires, and a resent request is told that its outcome is unknown.
		}
	}

	private async _settle(claimId: string, {tenant: customer, service, idempotencyKey}: ClaimRequest, outcome: ClaimSettlement): Promise<void> {
		await this._options.leaderClient.propose({
			type: 'claim.settle', claimId, tenant: customer, service, idempotencyKey, outcome,
		}, settleTimeoutMs);
	}

	/** Polls until another claimant's outcome is known or the deadline has passed. Returns `absent` if the other claimant's request did not run, and a result of kind `unknown` after the deadline. */
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

/** Returns the outcome without its response body if the body is larger than `maxRecordedBodyBytes`, and unchanged otherwise. */
function omitOversizedBody(outcome: ClaimSettlement): ClaimSettlement {
	if (outcome.kind !== 'answered' || (outcome.outcome.body?.length ?? 0) <= maxRecordedBodyBytes) {
		return outcome;
	}

	const {status, headers} = outcome.outcome;
	return {kind: 'answered', outcome: {status, headers}};
}
