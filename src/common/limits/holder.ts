/** Allowances of an entry process: granted portions of tenants' buckets, and the requests that wait for them. */
import type {
	AllowanceReport, Grant, OwnerStamp, Refund, Shortage, Want,
} from '../control/messages.js';
import {syncListLimit} from '../control/messages.js';
import type {ReplyToken} from '../core/types.js';
import type {AllowanceResult} from '../services/access-service.js';
import {
	askedValidityMs, grantValidityMs, ownerAskedValidityMs, ownerValidityMs, passingFactor,
} from './types.js';
import type {TenantLimit} from './types.js';

/** A grant with less validity left is given back at a sync, since it would expire before the next one. */
const returnBelowMs = 650;
/** Time constant of a tenant's recent demand. */
const demandWindowMs = 1000;
/** Requests of one tenant that wait at once. */
const waiterLimit = 1000;
/** Requests whose settlement is awaited, over all tenants; later ones get no refund. */
const acquisitionLimit = 20_000;
/** A request without a settlement for this long is taken for lost. */
const acquisitionTtlMs = 600_000;
/** Share of a burst whose use is reported soon: the owner cannot refill what it takes for unspent. */
const earlyReportShare = 0.02;
/** Time until that report, in milliseconds, which gathers what is used meanwhile. */
const earlyReportMs = 5;
/** Time for which the owner's answer that a bucket is short serves for later requests too. */
const shortageValidityMs = 250;
/** Advice to callers while the leader cannot be asked. */
const unreachableRetryMs = 1000;

type HeldGrant = {
	readonly id: number;
	left: number;
	spent: number;
	readonly expiresMs: number;
	/** Owner's time at which it counts what is left as spent. */
	readonly ownerExpiresMs: number;
};
type Waiter = {readonly token: ReplyToken; readonly tokens: number; readonly deadlineMs: number; isAnswered: boolean};
type Acquisition = {
	readonly tokens: number;
	/** The owner counted the tokens as spent at this time or later. */
	stamp: OwnerStamp;
	/** Owner's time at which the first of its grants expires. */
	readonly ownerExpiresMs: number;
	readonly atMs: number;
};

type Allowance = {
	grants: HeldGrant[];
	waiters: Waiter[];
	/** Tokens acquired recently, decaying with `demandWindowMs`. */
	demand: number;
	demandMs: number;
	lastCost: number;
	/** Tokens spent since the last report. */
	unreported: number;
	/** By the token of their request, oldest first. */
	readonly acquisitions: Map<ReplyToken, Acquisition>;
	/** When the bucket may cover `readyTokens`, by the owner's answer at `answeredMs`. */
	readyMs: number;
	readyTokens: number;
	answeredMs: number;
	/** Whether that answer tells of the leader's pause, not of the tenant's use. */
	isPause: boolean;
};

/** An answer for a waiting request. */
export type AllowanceAnswer = {readonly token: ReplyToken; readonly result: AllowanceResult};

/** A request for tokens; it waits at most `maxWaitMs`. */
export type AllowanceRequest = {
	readonly tenant: string;
	readonly tokens: number;
	readonly maxWaitMs: number;
	readonly token: ReplyToken;
	readonly limit: TenantLimit;
	readonly nowMs: number;
};

/** How an acquired request ended. */
export type Settlement = {
	readonly tenant: string;
	readonly acquired: number;
	readonly used: number;
	/** Token of the request that acquired; without it, refunds are smaller than they could be. */
	readonly acquisition?: ReplyToken | undefined;
	readonly nowMs: number;
};

/** The owner's answer to a report that was made at `sentMs`. */
export type OwnerAnswer = {
	readonly sentMs: number;
	readonly grants: readonly Grant[];
	readonly shortages: readonly Shortage[];
	readonly stamp: OwnerStamp;
	/** Owner's time at which it took the report. */
	readonly takenMs: number;
};

/** Grants and waiting requests of one entry process. */
export class AllowanceHolder {
	private readonly _tenants = new Map<string, Allowance>();
	private _refunds: Refund[] = [];
	private _charges = new Map<string, number>();
	private _acquisitionCount = 0;
	/** Acquisitions since the last report, and those that it told of. */
	private _unreported: Acquisition[] = [];
	private _reported: Acquisition[] = [];
	private _stamp: OwnerStamp = {term: 0, atMs: 0};
	private _reportDueMs: number | undefined;

	get tenantCount(): number {
		return this._tenants.size;
	}

	/** When a waiting request makes a sync useful; undefined while none waits. */
	wakeMs(): number | undefined {
		let earliest: number | undefined;
		for (const {waiters, readyMs} of this._tenants.values()) {
			if (waiters.length > 0) {
				earliest = Math.min(earliest ?? readyMs, readyMs);
			}
		}

		return earliest;
	}

	/** When a report of spent tokens is due; undefined while none is before the next regular one. */
	reportDueMs(): number | undefined {
		return this._reportDueMs;
	}

	/** When the first waiting request has waited as long as it may; undefined while none waits. */
	deadlineMs(): number | undefined {
		let earliest: number | undefined;
		for (const {waiters} of this._tenants.values()) {
			for (const {deadlineMs} of waiters) {
				earliest = Math.min(earliest ?? deadlineMs, deadlineMs);
			}
		}

		return earliest;
	}

	/** Takes tokens at once, refuses, or lets the request wait; undefined means that it waits. */
	acquire(req: AllowanceRequest): AllowanceResult | undefined {
		const {
			tenant, tokens, maxWaitMs, token, limit, nowMs,
		} = req;
		if (tokens > limit.burst) {
			return {ok: false, code: 'exceeds-burst'};
		}

		const allowance = this._allowance(tenant, nowMs);
		const position = allowance.waiters.findIndex(waiter => tokens * passingFactor <= waiter.tokens);
		const isFirst = position === 0 || allowance.waiters.length === 0;
		if (isFirst && this._take(allowance, req, nowMs)) {
			this._noteSpending(allowance, limit, nowMs);
			return {ok: true};
		}

		if (maxWaitMs <= 0 || allowance.waiters.length >= waiterLimit) {
			return {ok: false, code: 'rate-exceeded', retryAfterMs: unreachableRetryMs};
		}

		if (nowMs - allowance.answeredMs > shortageValidityMs) {
			allowance.readyMs = nowMs;
		} else if (allowance.waiters.length === 0) {
			const readyMs = readyFor(allowance, tokens, limit, nowMs);
			if (readyMs > nowMs + maxWaitMs) {
				return {ok: false, code: shortCode(allowance), retryAfterMs: readyMs - nowMs};
			}
		}

		if (position === 0 || allowance.waiters.length === 0) {
			// The owner was last asked for a larger request, which the bucket covers later; it keeps tokens aside only for one that it knows of.
			allowance.readyMs = allowance.waiters.length === 0 ? nowMs : readyFor(allowance, tokens, limit, nowMs);
			allowance.readyTokens = tokens;
		}

		allowance.waiters.splice(position === -1 ? allowance.waiters.length : position, 0, {
			token, tokens, deadlineMs: nowMs + maxWaitMs, isAnswered: false,
		});
		return undefined;
	}

	/** Ends an acquired request: the unused part goes back to the owner, what was used beyond it is charged. */
	settle({tenant, acquired, used, acquisition, nowMs}: Settlement): void {
		if (used > acquired) {
			this._charges.set(tenant, (this._charges.get(tenant) ?? 0) + used - acquired);
		}

		const stamp = this._endAcquisition(tenant, acquired, acquisition);
		if (stamp && used < acquired && this._refunds.length < syncListLimit) {
			this._refunds.push({tenant, stamp, tokens: acquired - Math.max(0, used)});
		}

		this._trim(tenant, nowMs);
	}

	/** What the next sync tells and asks; what it reports is forgotten, since a lost report only makes the owner count tokens as spent. */
	report(nowMs: number): AllowanceReport {
		const report = {
			spent: [] as AllowanceReport['spent'],
			returned: [] as AllowanceReport['returned'],
			refunds: this._refunds,
			charges: [...this._charges].slice(0, syncListLimit).map(([tenant, tokens]) => ({tenant, tokens})),
			wanted: [] as Want[],
		};
		this._refunds = [];
		this._reportDueMs = undefined;
		this._reported = this._unreported;
		this._unreported = [];
		this._charges = new Map([...this._charges].slice(syncListLimit));
		for (const [tenant, allowance] of this._tenants) {
			allowance.unreported = 0;
			this._reportGrants(allowance, report, nowMs);
			const want = wantOf(allowance, tenant, nowMs);
			if (want) {
				report.wanted.push(want);
			}

			this._trim(tenant, nowMs);
		}

		report.wanted.sort((a, b) => Number(b.atLeast > 0) - Number(a.atLeast > 0));
		report.wanted.length = Math.min(report.wanted.length, syncListLimit);
		return report;
	}

	/** Takes the owner's answer to a report made at `sentMs`. */
	receive(answer: OwnerAnswer, limitOf: (tenant: string) => TenantLimit | undefined, nowMs: number): AllowanceAnswer[] {
		const answers: AllowanceAnswer[] = [];
		this._stamp = answer.stamp;
		this._stampReported(answer);
		for (const {id, tenant, tokens, isAdvance} of answer.grants) {
			const allowance = this._allowance(tenant, nowMs);
			const grant: HeldGrant = {
				id,
				left: tokens,
				spent: 0,
				expiresMs: answer.sentMs + (isAdvance ? grantValidityMs : askedValidityMs),
				ownerExpiresMs: answer.stamp.atMs + (isAdvance ? ownerValidityMs : ownerAskedValidityMs),
			};
			allowance.grants.push(grant);
			this._serve(allowance, nowMs, answers);
			this._noteSpending(allowance, limitOf(tenant), nowMs);
			if (!isAdvance && grant.left > 0) {
				// Its request has gone; the tokens are given back before they expire.
				this._reportDueMs ??= nowMs + earlyReportMs;
			}
		}

		for (const {tenant, waitMs, isPause} of answer.shortages) {
			const allowance = this._tenants.get(tenant);
			const limit = limitOf(tenant);
			if (allowance && limit && allowance.waiters.length > 0) {
				allowance.readyMs = nowMs + waitMs;
				allowance.readyTokens = allowance.waiters[0]!.tokens;
				allowance.answeredMs = nowMs;
				allowance.isPause = isPause;
				refuseHopeless(allowance, limit, nowMs, answers);
			}
		}

		return answers;
	}

	/** Refuses the requests that have waited as long as they may. */
	expire(nowMs: number): AllowanceAnswer[] {
		const answers: AllowanceAnswer[] = [];
		for (const allowance of this._tenants.values()) {
			if (allowance.waiters.length === 0) {
				continue;
			}

			const kept: Waiter[] = [];
			for (const waiter of allowance.waiters) {
				if (waiter.deadlineMs > nowMs) {
					kept.push(waiter);
					continue;
				}

				// Without the owner's answer nobody knows whether the tenant is over its rate.
				const code = waiter.isAnswered ? shortCode(allowance) : 'control-unreachable';
				const retryAfterMs = waiter.isAnswered ? Math.max(1, allowance.readyMs - nowMs) : unreachableRetryMs;
				answers.push({token: waiter.token, result: {ok: false, code, retryAfterMs}});
			}

			if (kept.length < allowance.waiters.length) {
				allowance.waiters = kept;
				this._serve(allowance, nowMs, answers);
			}
		}

		return answers;
	}

	private _allowance(tenant: string, nowMs: number): Allowance {
		let allowance = this._tenants.get(tenant);
		if (!allowance) {
			allowance = {
				grants: [], waiters: [], demand: 0, demandMs: nowMs, lastCost: 0, unreported: 0, acquisitions: new Map(), readyMs: nowMs, readyTokens: 0, answeredMs: Number.NEGATIVE_INFINITY, isPause: false,
			};
			this._tenants.set(tenant, allowance);
		}

		return allowance;
	}

	private _take(allowance: Allowance, {token, tokens}: Pick<Waiter, 'token' | 'tokens'>, nowMs: number): boolean {
		const usable = allowance.grants.filter(grant => grant.expiresMs > nowMs);
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

		allowance.demand = decayedDemand(allowance, nowMs) + tokens;
		allowance.demandMs = nowMs;
		allowance.lastCost = tokens;
		allowance.unreported += tokens;
		if (this._acquisitionCount < acquisitionLimit) {
			this._acquisitionCount++;
			const acquisition = {
				tokens, stamp: this._stamp, ownerExpiresMs, atMs: nowMs,
			};
			allowance.acquisitions.set(token, acquisition);
			this._unreported.push(acquisition);
		}

		return true;
	}

	private _noteSpending({unreported}: Allowance, limit: TenantLimit | undefined, nowMs: number): void {
		if (limit && unreported >= limit.burst * earlyReportShare) {
			this._reportDueMs ??= nowMs + earlyReportMs;
		}
	}

	/** The owner counted what the report told of as spent when it took the report, unless a grant had expired before. */
	private _stampReported({stamp: {term}, takenMs}: OwnerAnswer): void {
		for (const acquisition of this._reported) {
			if (acquisition.stamp.term === term && takenMs < acquisition.ownerExpiresMs) {
				acquisition.stamp = {term, atMs: takenMs};
			}
		}

		this._reported = [];
	}

	private _serve(allowance: Allowance, nowMs: number, answers: AllowanceAnswer[]): void {
		while (allowance.waiters.length > 0 && this._take(allowance, allowance.waiters[0]!, nowMs)) {
			answers.push({token: allowance.waiters.shift()!.token, result: {ok: true}});
			allowance.readyMs = nowMs;
			allowance.answeredMs = Number.NEGATIVE_INFINITY;
		}
	}

	/**
	Removes an acquisition and returns the stamp for its refund.
	Without its token, requests of the same size cannot be told apart: then the oldest one's stamp serves them all
	and the youngest is removed, so that a refund never counts as acquired later than it was.
	*/
	private _endAcquisition(tenant: string, tokens: number, acquisition: ReplyToken | undefined): OwnerStamp | undefined {
		const acquisitions = this._tenants.get(tenant)?.acquisitions ?? new Map<ReplyToken, Acquisition>();
		const candidates = [...acquisitions.keys()].filter(token => acquisition === undefined ? acquisitions.get(token)!.tokens === tokens : token === acquisition);
		const stamp = acquisitions.get(candidates[0] ?? Number.NaN)?.stamp;
		if (acquisitions.delete(candidates.at(-1) ?? Number.NaN)) {
			this._acquisitionCount--;
		}

		return stamp;
	}

	private _reportGrants(allowance: Allowance, {spent, returned}: AllowanceReport, nowMs: number): void {
		const kept: HeldGrant[] = [];
		for (const grant of allowance.grants) {
			if (grant.expiresMs <= nowMs) {
				continue;
			}

			if (spent.length + returned.length >= syncListLimit) {
				kept.push(grant);
			} else if (grant.left > 0 && grant.expiresMs - nowMs < returnBelowMs) {
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

		allowance.grants = kept;
	}

	/** Forgets a tenant that has nothing left to remember. */
	private _trim(tenant: string, nowMs: number): void {
		const allowance = this._tenants.get(tenant);
		if (!allowance) {
			return;
		}

		for (const [token, {atMs}] of allowance.acquisitions) {
			if (atMs + acquisitionTtlMs > nowMs) {
				break;
			}

			allowance.acquisitions.delete(token);
			this._acquisitionCount--;
		}

		const isIdle = allowance.grants.length === 0 && allowance.waiters.length === 0 && allowance.acquisitions.size === 0;
		if (isIdle && decayedDemand(allowance, nowMs) < 1) {
			this._tenants.delete(tenant);
		}
	}
}

function decayedDemand({demand, demandMs}: Allowance, nowMs: number): number {
	return demand * Math.exp((demandMs - nowMs) / demandWindowMs);
}

/** What waits, and about a second of demand beyond the last request; one request alone is no demand. */
function wantOf(allowance: Allowance, tenant: string, nowMs: number): Want | undefined {
	const held = allowance.grants.reduce((total, {left}) => total + left, 0);
	const waiting = allowance.waiters.reduce((total, {tokens}) => total + tokens, 0);
	const ahead = Math.max(0, decayedDemand(allowance, nowMs) - allowance.lastCost);
	const tokens = Math.ceil(waiting + ahead - held);
	const atLeast = Math.max(0, (allowance.waiters[0]?.tokens ?? 0) - held);
	const waitMs = Math.max(0, (allowance.waiters[0]?.deadlineMs ?? nowMs) - nowMs);
	return tokens > 0 || atLeast > 0
		? {
			tenant, tokens: Math.max(tokens, atLeast), atLeast, waitMs,
		}
		: undefined;
}

/** When the bucket may cover this many tokens, as far as its owner's last answer tells. */
function readyFor({readyMs, readyTokens}: Allowance, tokens: number, {rate}: TenantLimit, nowMs: number): number {
	return Math.max(nowMs, readyMs + ((tokens - readyTokens) / rate * 1000));
}

/** A tenant within its rate must not be told that it exceeds it because the leader is new. */
function shortCode({isPause}: Allowance): 'rate-exceeded' | 'control-unreachable' {
	return isPause ? 'control-unreachable' : 'rate-exceeded';
}

/** Refuses the requests that the bucket cannot cover in time. */
function refuseHopeless(allowance: Allowance, limit: TenantLimit, nowMs: number, answers: AllowanceAnswer[]): void {
	const kept: Waiter[] = [];
	let ahead = 0;
	for (const waiter of allowance.waiters) {
		const readyMs = readyFor(allowance, ahead + waiter.tokens, limit, nowMs);
		waiter.isAnswered = true;
		if (readyMs > waiter.deadlineMs) {
			answers.push({token: waiter.token, result: {ok: false, code: shortCode(allowance), retryAfterMs: readyMs - nowMs}});
		} else {
			kept.push(waiter);
			ahead += waiter.tokens;
		}
	}

	allowance.waiters = kept;
}
