/** Grants from the customers' token buckets that an entry process holds, and the requests that wait for tokens. */
import type {
	AllowanceReport, Grant, OwnerTimestamp, Refund, TokenShortage, TokenRequest,
} from '../control/messages.js';
import {maxSyncListEntries} from '../control/messages.js';
import type {ReplyToken} from '../core/types.js';
import type {AllowanceResult} from '../services/access-service.js';
import {
	advanceGrantValidityMs, onDemandGrantValidityMs, overtakeFactor, ownerAdvanceGrantValidityMs, ownerOnDemandGrantValidityMs,
} from './types.js';
import type {CustomerLimit} from './types.js';

/** Remaining validity below which a grant's unspent tokens are returned at a sync, in milliseconds, since the grant would expire before the next sync. */
const returnThresholdMs = 650;
/** Time constant of the exponential decay of a customer's demand, in milliseconds. */
const demandDecayMs = 1000;
/** Maximum number of waiting requests per customer. */
const waiterLimit = 1000;
/** Maximum number of acquisitions tracked until they are settled, over all customers; acquisitions beyond this number get no refund. */
const acquisitionLimit = 20_000;
/** Time after which an acquisition that has not been settled is no longer tracked and gets no refund, in milliseconds. */
const acquisitionTtlMs = 600_000;
/** Spent tokens that trigger an early report, as a share of the customer's burst, since the owner does not refill the bucket for granted tokens until they are reported as spent. */
const earlyReportShare = 0.02;
/** Delay of an early report, in milliseconds, so that it also covers tokens spent shortly after the report was triggered. */
const earlyReportDelayMs = 5;
/** Time for which the owner's estimate from a shortage also applies to new requests, in milliseconds: a new request that the bucket cannot cover before its deadline is refused at once. */
const shortageValidityMs = 250;
/** Retry delay returned to callers if the owner has given no estimate, in milliseconds. */
const defaultRetryAfterMs = 1000;

type HeldGrant = {
	readonly id: number;
	left: number;
	spent: number;
	readonly expiresMs: number;
	/** Time on the bucket owner's clock at which the owner counts the remaining tokens as spent. */
	readonly ownerExpiresMs: number;
};
type Waiter = {readonly token: ReplyToken; readonly tokens: number; readonly deadlineMs: number; hasOwnerAnswer: boolean};
type Acquisition = {
	readonly tokens: number;
	/** Time on the bucket owner's clock at which, or after which, the owner counted the tokens as spent. */
	stamp: OwnerTimestamp;
	/** Time on the bucket owner's clock at which the first of the grants that supplied the tokens expires; `Infinity` for an acquisition of 0 tokens. */
	readonly ownerExpiresMs: number;
	readonly acquiredMs: number;
};

/** Grants, waiting requests and unsettled acquisitions of one customer. */
type CustomerState = {
	grants: HeldGrant[];
	waiters: Waiter[];
	/** Tokens acquired recently, decaying exponentially with the time constant `demandDecayMs`. */
	demand: number;
	demandUpdatedMs: number;
	lastRequestTokens: number;
	/** Tokens spent since the last report to the owner. */
	unreportedTokens: number;
	/** Acquisitions that are not settled yet, by the reply token of their request, oldest first. */
	readonly acquisitions: Map<ReplyToken, Acquisition>;
	/** Time at which the bucket may cover `readyTokens`, as estimated from the shortage that the owner last reported; if this time has passed and a request waits, a sync is due. */
	readyMs: number;
	/** Tokens to which the estimate in `readyMs` applies: those of the first waiting request. */
	readyTokens: number;
	/** Time at which the owner last reported a shortage; `-Infinity` if it has reported none since a waiting request was last served. */
	lastShortageMs: number;
	/** Whether the last reported shortage was due to the pause of a new leader, not to the customer's use. */
	isLeaderPaused: boolean;
};

/** Result for a request that waited; `token` is the reply token of the request. */
export type WaiterResult = {readonly token: ReplyToken; readonly result: AllowanceResult};

/** A request for rate tokens that waits for at most `maxWaitMs` milliseconds; `token` is its reply token. */
export type AcquireRequest = {
	readonly tenant: string;
	readonly tokens: number;
	readonly maxWaitMs: number;
	readonly token: ReplyToken;
	readonly limit: CustomerLimit;
	readonly nowMs: number;
};

/** Acquired and used rate tokens of a request that has ended. */
export type Settlement = {
	readonly tenant: string;
	readonly acquired: number;
	readonly used: number;
	/** Reply token of the request that acquired the tokens; if it is undefined, the refund may be smaller than possible. */
	readonly acquisition?: ReplyToken | undefined;
	readonly nowMs: number;
};

/** The owner's answer to a report that was sent at `sentMs`. */
export type OwnerAnswer = {
	readonly sentMs: number;
	readonly grants: readonly Grant[];
	readonly shortages: readonly TokenShortage[];
	readonly stamp: OwnerTimestamp;
	/** Time on the owner's clock at which the owner processed the report. */
	readonly takenMs: number;
};

/** Holds the grants, waiting requests and unsettled acquisitions of one entry process. */
export class GrantHolder {
	private readonly _customers = new Map<string, CustomerState>();
	private _refunds: Refund[] = [];
	private _charges = new Map<string, number>();
	private _acquisitionCount = 0;
	/** Acquisitions made since the last report to the owner. */
	private _unreportedAcquisitions: Acquisition[] = [];
	/** Acquisitions whose tokens the last report covered as spent; empty once it is answered. */
	private _reportedAcquisitions: Acquisition[] = [];
	private _stamp: OwnerTimestamp = {term: 0, atMs: 0};
	private _earlyReportAtMs: number | undefined;

	get customerCount(): number {
		return this._customers.size;
	}

	/** Returns the earliest time at which a sync may get tokens for a waiting request; undefined while no request waits. */
	waitersReadyMs(): number | undefined {
		let earliest: number | undefined;
		for (const {waiters, readyMs} of this._customers.values()) {
			if (waiters.length > 0) {
				earliest = Math.min(earliest ?? readyMs, readyMs);
			}
		}

		return earliest;
	}

	/** Returns the time at which an early report of spent or unneeded tokens is due; undefined if the next regular sync is soon enough. */
	earlyReportAtMs(): number | undefined {
		return this._earlyReportAtMs;
	}

	/** Returns the earliest deadline of the waiting requests; undefined while no request waits. */
	earliestDeadlineMs(): number | undefined {
		let earliest: number | undefined;
		for (const {waiters} of this._customers.values()) {
			for (const {deadlineMs} of waiters) {
				earliest = Math.min(earliest ?? deadlineMs, deadlineMs);
			}
		}

		return earliest;
	}

	/** Takes tokens for a request or refuses it; returns undefined if the request waits instead. */
	acquire(req: AcquireRequest): AllowanceResult | undefined {
		const {
			tenant: customer, tokens, maxWaitMs, token, limit, nowMs,
		} = req;
		if (tokens > limit.burst) {
			return {ok: false, code: 'exceeds-burst'};
		}

		const state = this._getOrCreateState(customer, nowMs);
		const position = state.waiters.findIndex(waiter => tokens * overtakeFactor <= waiter.tokens);
		const isFirst = position === 0 || state.waiters.length === 0;
		if (isFirst && this._tryTake(state, req, nowMs)) {
			this._scheduleEarlyReport(state, limit, nowMs);
			return {ok: true};
		}

		if (maxWaitMs <= 0 || state.waiters.length >= waiterLimit) {
			return {ok: false, code: 'rate-exceeded', retryAfterMs: defaultRetryAfterMs};
		}

		if (nowMs - state.lastShortageMs > shortageValidityMs) {
			state.readyMs = nowMs;
		} else if (state.waiters.length === 0) {
			const readyMs = estimateReadyMs(state, tokens, limit, nowMs);
			if (readyMs > nowMs + maxWaitMs) {
				return {ok: false, code: shortageCode(state), retryAfterMs: readyMs - nowMs};
			}
		}

		if (position === 0 || state.waiters.length === 0) {
			// If no request waits, asks the owner at once, since it reserves no tokens for a request that it does not know of.
			// If this request overtakes the first one, adapts the owner's estimate, since that applies to a larger request, which the bucket covers later.
			state.readyMs = state.waiters.length === 0 ? nowMs : estimateReadyMs(state, tokens, limit, nowMs);
			state.readyTokens = tokens;
		}

		state.waiters.splice(position === -1 ? state.waiters.length : position, 0, {
			token, tokens, deadlineMs: nowMs + maxWaitMs, hasOwnerAnswer: false,
		});
		return undefined;
	}

	/** Settles an acquisition: unused tokens are refunded to the bucket, tokens used beyond the acquired ones are charged to it. */
	settle({tenant: customer, acquired, used, acquisition, nowMs}: Settlement): void {
		if (used > acquired) {
			this._charges.set(customer, (this._charges.get(customer) ?? 0) + used - acquired);
		}

		const stamp = this._removeAcquisition(customer, acquired, acquisition);
		if (stamp && used < acquired && this._refunds.length < maxSyncListEntries) {
			this._refunds.push({tenant: customer, stamp, tokens: acquired - Math.max(0, used)});
		}

		this._trim(customer, nowMs);
	}

	/** Builds the report for the next sync. The contents of a lost report are not sent again: the owner counts its granted tokens as spent when the grants expire, and its refunds and charges are dropped. */
	buildReport(nowMs: number): AllowanceReport {
		const report = {
			spent: [] as AllowanceReport['spent'],
			returned: [] as AllowanceReport['returned'],
			refunds: this._refunds,
			charges: [...this._charges].slice(0, maxSyncListEntries).map(([customer, tokens]) => ({tenant: customer, tokens})),
			wanted: [] as TokenRequest[],
		};
		this._refunds = [];
		this._earlyReportAtMs = undefined;
		this._reportedAcquisitions = this._unreportedAcquisitions;
		this._unreportedAcquisitions = [];
		this._charges = new Map([...this._charges].slice(maxSyncListEntries));
		for (const [customer, state] of this._customers) {
			state.unreportedTokens = 0;
			this._reportGrants(state, report, nowMs);
			const tokenRequest = buildTokenRequest(state, customer, nowMs);
			if (tokenRequest) {
				report.wanted.push(tokenRequest);
			}

			this._trim(customer, nowMs);
		}

		report.wanted.sort((a, b) => Number(b.atLeast > 0) - Number(a.atLeast > 0));
		report.wanted.length = Math.min(report.wanted.length, maxSyncListEntries);
		return report;
	}

	/** Processes the owner's answer to a report; returns results for the waiting requests that are served or refused. */
	processAnswer(answer: OwnerAnswer, limitOf: (customer: string) => CustomerLimit | undefined, nowMs: number): WaiterResult[] {
		const answers: WaiterResult[] = [];
		this._stamp = answer.stamp;
		this._updateReportedStamps(answer);
		for (const {id, tenant: customer, tokens, isAdvance} of answer.grants) {
			const state = this._getOrCreateState(customer, nowMs);
			const grant: HeldGrant = {
				id,
				left: tokens,
				spent: 0,
				expiresMs: answer.sentMs + (isAdvance ? advanceGrantValidityMs : onDemandGrantValidityMs),
				ownerExpiresMs: answer.stamp.atMs + (isAdvance ? ownerAdvanceGrantValidityMs : ownerOnDemandGrantValidityMs),
			};
			state.grants.push(grant);
			this._serveWaiters(state, nowMs, answers);
			this._scheduleEarlyReport(state, limitOf(customer), nowMs);
			if (!isAdvance && grant.left > 0) {
				// The request for which these tokens were granted is no longer waiting, so an early report returns the tokens before they expire.
				this._earlyReportAtMs ??= nowMs + earlyReportDelayMs;
			}
		}

		for (const {tenant: customer, waitMs, isPause} of answer.shortages) {
			const state = this._customers.get(customer);
			const limit = limitOf(customer);
			if (state && limit && state.waiters.length > 0) {
				state.readyMs = nowMs + waitMs;
				state.readyTokens = state.waiters[0]!.tokens;
				state.lastShortageMs = nowMs;
				state.isLeaderPaused = isPause;
				refuseUnservable(state, limit, nowMs, answers);
			}
		}

		return answers;
	}

	/** Refuses waiting requests whose deadline has passed and serves those behind them that the held grants cover; returns the results. */
	expireWaiters(nowMs: number): WaiterResult[] {
		const answers: WaiterResult[] = [];
		for (const state of this._customers.values()) {
			if (state.waiters.length === 0) {
				continue;
			}

			const kept: Waiter[] = [];
			for (const waiter of state.waiters) {
				if (waiter.deadlineMs > nowMs) {
					kept.push(waiter);
					continue;
				}

				// Without an answer of the owner it is unknown whether the customer exceeds its rate, so the refusal must not say that it does.
				const code = waiter.hasOwnerAnswer ? shortageCode(state) : 'control-unreachable';
				const retryAfterMs = waiter.hasOwnerAnswer ? Math.max(1, state.readyMs - nowMs) : defaultRetryAfterMs;
				answers.push({token: waiter.token, result: {ok: false, code, retryAfterMs}});
			}

			if (kept.length < state.waiters.length) {
				state.waiters = kept;
				this._serveWaiters(state, nowMs, answers);
			}
		}

		return answers;
	}

	private _getOrCreateState(customer: string, nowMs: number): CustomerState {
		let state = this._customers.get(customer);
		if (!state) {
			state = {
				grants: [],
				waiters: [],
				demand: 0,
				demandUpdatedMs: nowMs,
				lastRequestTokens: 0,
				unreportedTokens: 0,
				acquisitions: new Map(),
				readyMs: nowMs,
				readyTokens: 0,
				lastShortageMs: Number.NEGATIVE_INFINITY,
				isLeaderPaused: false,
			};
			this._customers.set(customer, state);
		}

		return state;
	}

	private _tryTake(state: CustomerState, {token, tokens}: Pick<Waiter, 'token' | 'tokens'>, nowMs: number): boolean {
		const usable = state.grants.filter(grant => grant.expiresMs > nowMs);
		if (usable.reduce((total, {left}) => total + left, 0) < tokens) {
			return false;
		}

		let missing = tokens;
		let ownerExpiresMs = Number.POSITIVE_INFINITY;
		for (const grant of usable) {
			const taken = Math.min(grant.left, missing);
			ownerExpiresMs = taken > 0 ? Math.min(ownerExpiresMs, grant.ownerExpiresMs) : ownerExpiresMs;
			grant.left -= taken;
			grant.spent += taken;
			missing -= taken;
		}

		state.demand = decayedDemand(state, nowMs) + tokens;
		state.demandUpdatedMs = nowMs;
		state.lastRequestTokens = tokens;
		state.unreportedTokens += tokens;
		if (this._acquisitionCount < acquisitionLimit) {
			this._acquisitionCount++;
			const acquisition = {
				tokens, stamp: this._stamp, ownerExpiresMs, acquiredMs: nowMs,
			};
			state.acquisitions.set(token, acquisition);
			this._unreportedAcquisitions.push(acquisition);
		}

		return true;
	}

	private _scheduleEarlyReport({unreportedTokens}: CustomerState, limit: CustomerLimit | undefined, nowMs: number): void {
		if (limit && unreportedTokens >= limit.burst * earlyReportShare) {
			this._earlyReportAtMs ??= nowMs + earlyReportDelayMs;
		}
	}

	/** Moves the stamps of reported acquisitions forward: the owner counted their tokens as spent when it processed the report, unless one of their grants had expired before that. */
	private _updateReportedStamps({stamp: {term}, takenMs}: OwnerAnswer): void {
		for (const acquisition of this._reportedAcquisitions) {
			if (acquisition.stamp.term === term && takenMs < acquisition.ownerExpiresMs) {
				acquisition.stamp = {term, atMs: takenMs};
			}
		}

		this._reportedAcquisitions = [];
	}

	private _serveWaiters(state: CustomerState, nowMs: number, answers: WaiterResult[]): void {
		while (state.waiters.length > 0 && this._tryTake(state, state.waiters[0]!, nowMs)) {
			answers.push({token: state.waiters.shift()!.token, result: {ok: true}});
			state.readyMs = nowMs;
			state.lastShortageMs = Number.NEGATIVE_INFINITY;
		}
	}

	/**
	Removes an acquisition and returns the stamp for its refund; undefined if the acquisition is not tracked.
	Without the request's reply token, acquisitions of the same size cannot be told apart: the stamp of the oldest is returned
	and the youngest is removed, so that no refund is stamped later than its acquisition.
	*/
	private _removeAcquisition(customer: string, tokens: number, acquisition: ReplyToken | undefined): OwnerTimestamp | undefined {
		const acquisitions = this._customers.get(customer)?.acquisitions ?? new Map<ReplyToken, Acquisition>();
		const candidates = [...acquisitions.keys()].filter(token => acquisition === undefined ? acquisitions.get(token)!.tokens === tokens : token === acquisition);
		const stamp = acquisitions.get(candidates[0] ?? Number.NaN)?.stamp;
		if (acquisitions.delete(candidates.at(-1) ?? Number.NaN)) {
			this._acquisitionCount--;
		}

		return stamp;
	}

	private _reportGrants(state: CustomerState, {spent, returned}: AllowanceReport, nowMs: number): void {
		const kept: HeldGrant[] = [];
		for (const grant of state.grants) {
			if (grant.expiresMs <= nowMs) {
				continue;
			}

			if (spent.length + returned.length >= maxSyncListEntries) {
				kept.push(grant);
			} else if (grant.left > 0 && grant.expiresMs - nowMs < returnThresholdMs) {
				returned.push({grant: grant.id, tokens: grant.left});
			} else {
				if (grant.spent > 0) {
					spent.push({grant: grant.id, tokens: grant.spent});
				}

				if (grant.left > 0) {
					kept.push(grant);
				}
			}
		}

		state.grants = kept;
	}

	/** Removes the customer's expired acquisitions, and its whole state if that is not in use. */
	private _trim(customer: string, nowMs: number): void {
		const state = this._customers.get(customer);
		if (!state) {
			return;
		}

		for (const [token, {acquiredMs}] of state.acquisitions) {
			if (acquiredMs + acquisitionTtlMs > nowMs) {
				break;
			}

			state.acquisitions.delete(token);
			this._acquisitionCount--;
		}

		const isIdle = state.grants.length === 0 && state.waiters.length === 0 && state.acquisitions.size === 0;
		if (isIdle && decayedDemand(state, nowMs) < 1) {
			this._customers.delete(customer);
		}
	}
}

function decayedDemand({demand, demandUpdatedMs}: CustomerState, nowMs: number): number {
	return demand * Math.exp((demandUpdatedMs - nowMs) / demandDecayMs);
}

/**
Returns a request to the owner for the tokens of the waiting requests plus about a second of the customer's recent demand, less the tokens held;
undefined if no tokens are needed. The last request is left out of the demand, since a single request does not predict another.
*/
function buildTokenRequest(state: CustomerState, customer: string, nowMs: number): TokenRequest | undefined {
	const heldTokens = state.grants.reduce((total, {left}) => total + left, 0);
	const waitingTokens = state.waiters.reduce((total, {tokens}) => total + tokens, 0);
	const expectedTokens = Math.max(0, decayedDemand(state, nowMs) - state.lastRequestTokens);
	const tokens = Math.ceil(waitingTokens + expectedTokens - heldTokens);
	const atLeast = Math.max(0, (state.waiters[0]?.tokens ?? 0) - heldTokens);
	const waitMs = Math.max(0, (state.waiters[0]?.deadlineMs ?? nowMs) - nowMs);
	return tokens > 0 || atLeast > 0
		? {
			tenant: customer, tokens: Math.max(tokens, atLeast), atLeast, waitMs,
		}
		: undefined;
}

/** Returns the time at which the bucket may cover `tokens`, as estimated from the shortage that the owner last reported; `nowMs` at the earliest. */
function estimateReadyMs({readyMs, readyTokens}: CustomerState, tokens: number, {rate}: CustomerLimit, nowMs: number): number {
	return Math.max(nowMs, readyMs + ((tokens - readyTokens) / rate * 1000));
}

/** Returns the code for a refusal due to a shortage. A customer within its rate must not be told that it exceeds it while a new leader pauses. */
function shortageCode({isLeaderPaused}: CustomerState): 'rate-exceeded' | 'control-unreachable' {
	return isLeaderPaused ? 'control-unreachable' : 'rate-exceeded';
}

/** Refuses waiting requests that, by the owner's estimate, the bucket cannot cover before their deadline. */
function refuseUnservable(state: CustomerState, limit: CustomerLimit, nowMs: number, answers: WaiterResult[]): void {
	const kept: Waiter[] = [];
	let tokensAhead = 0;
	for (const waiter of state.waiters) {
		const readyMs = estimateReadyMs(state, tokensAhead + waiter.tokens, limit, nowMs);
		waiter.hasOwnerAnswer = true;
		if (readyMs > waiter.deadlineMs) {
			answers.push({token: waiter.token, result: {ok: false, code: shortageCode(state), retryAfterMs: readyMs - nowMs}});
		} else {
			kept.push(waiter);
			tokensAhead += waiter.tokens;
		}
	}

	state.waiters = kept;
}
