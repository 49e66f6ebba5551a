/** An answer kept for resends of a request that ran. */
export type RecordedOutcome = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	/** Absent when the body was larger than the recording limit. */
	readonly body?: Uint8Array;
};

export type ClaimRequest = {
	readonly tenant: string;
	readonly service: string;
	readonly idempotencyKey: string;
	/** SHA-256 of method, path and body, in hexadecimal. */
	readonly requestDigest: string;
};

export type ClaimResult =
	/** This caller may send the request, once. */
	| {readonly kind: 'granted'; readonly claimId: string}
	/** The request ran; this is its answer. */
	| {readonly kind: 'recorded'; readonly outcome: RecordedOutcome}
	/** The request may have run; its outcome is not known. */
	| {readonly kind: 'unknown'}
	/** The idempotency key belongs to a different request. */
	| {readonly kind: 'conflict'}
	/** The tenant has too many claims that have not expired; nothing was claimed. */
	| {readonly kind: 'too-many'; readonly retryAfterMs: number}
	/** No quorum answered; the claim may or may not stand, but the request was not sent. */
	| {readonly kind: 'unavailable'};

/** How a claimed request ended. */
export type ClaimOutcome =
	| {readonly kind: 'answered'; readonly outcome: RecordedOutcome}
	/** Nothing reached the upstream, so the claim is withdrawn and a resend may run. */
	| {readonly kind: 'not-run'}
	| {readonly kind: 'unknown'};

/** Makes a request that is not idempotent run at most once, wherever it is resent. */
export abstract class ClaimService {
	/** Claims on a quorum; while another entry process runs the same request, waits at most `maxWaitMs` for its outcome. */
	abstract open(claim: ClaimRequest, maxWaitMs: number): Promise<ClaimResult>;
	/** Records how the claimed request ended. */
	abstract settle(claimId: string, outcome: ClaimOutcome): Promise<void>;
}
