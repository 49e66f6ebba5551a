/** Initial limit on the prompts that this process has in flight to the prefill engines of a service. */
const initialLimit = 1;
/**
Maximum limit per prefill engine, in prompts. An engine prefills one prompt in about 0.1 s, so the last of six queued prompts is done after about
0.6 s, within a latency objective of 0.9 s.
*/
const maxPromptsPerEngine = 6;
/** Minimum limit, in prompts. A limit below one makes the process pause between prompts; at the minimum, the pause is four times the duration of the last prefill. */
const minLimit = 0.2;
/** Increase of the limit after a prompt that was prefilled in time, in prompts. */
const limitIncrease = 0.3;
/** Factor by which the limit is multiplied after each prompt that was not prefilled in time, also if several such prompts were sent together. */
const limitDecreaseFactor = 0.6;
/** Share of the latency objective within which a prompt should be prefilled; the rest is left for the memory reservation and the first output token. */
const prefillTargetShare = 0.45;
/** Time for which a request that got no place is owed the next one before less urgent requests, in milliseconds; twice the interval at which it asks again. */
const owedPlaceMs = 100;

type ServiceState = {
	/** Number of prompts that may be in flight; below one, a single prompt may be in flight and the next prompt is sent only after a pause. */
	limit: number;
	inFlight: number;
	/** Duration of the last prefill, in milliseconds; 0 before the first prefill. */
	lastDurationMs: number;
	/** Time at which the last prefill ended, in milliseconds; `-Infinity` before the first prefill. */
	lastEndedMs: number;
	/** Rank of the most urgent request that got no place; `Infinity` if none is owed one. */
	owedRank: number;
	/** Time until which that request is owed the next place, in milliseconds. */
	owedUntilMs: number;
};

/**
Limits the prompts that this process has in flight to the prefill engines of each service. All processes share the engines and no
process knows how many prompts the others send, so the limit adapts to the prefill duration: it grows additively while prompts are prefilled in
time, and shrinks multiplicatively when prompts queue.
*/
export class PrefillLimiter {
	private readonly _serviceStates = new Map<string, ServiceState>();

	/**
	Takes a place for a prompt and returns true, or returns false if no further prompt may be sent now. A service without
	prefill engines is not limited. Each place taken must be returned with `release`. A request of lower `rank` is more urgent: while
	one that got no place may still come back for it, less urgent requests get none.
	*/
	tryAcquire(service: string, engines: number, nowMs: number, rank = 0): boolean {
		const serviceState = this._getOrCreateServiceState(service);
		serviceState.limit = Math.min(serviceState.limit, Math.max(1, maxPromptsPerEngine * engines));
		// A limit below one means a pause after each prefill.
		const pauseMs = serviceState.limit < 1 ? ((1 / serviceState.limit) - 1) * serviceState.lastDurationMs : 0;
		if (engines > 0 && (serviceState.inFlight >= Math.max(1, Math.floor(serviceState.limit)) || nowMs - serviceState.lastEndedMs < pauseMs)) {
			owePlace(serviceState, rank, nowMs);
			return false;
		}

		if (engines > 0 && rank > serviceState.owedRank && nowMs < serviceState.owedUntilMs) {
			return false;
		}

		if (rank <= serviceState.owedRank) {
			serviceState.owedRank = Infinity;
		}

		serviceState.inFlight++;
		return true;
	}

	/** Returns a place that was taken with `tryAcquire`. */
	release(service: string): void {
		const serviceState = this._serviceStates.get(service);
		if (serviceState) {
			serviceState.inFlight--;
		}
	}

	/** Adjusts the limit after a prefill call that ended, successfully or not, after `durationMs`; `targetMs` is the latency objective. */
	recordDuration(service: string, durationMs: number, targetMs: number, nowMs: number): void {
		const serviceState = this._serviceStates.get(service);
		if (serviceState) {
			serviceState.limit = durationMs <= targetMs * prefillTargetShare ? serviceState.limit + limitIncrease : Math.max(minLimit, serviceState.limit * limitDecreaseFactor);
			serviceState.lastDurationMs = durationMs;
			serviceState.lastEndedMs = nowMs;
		}
	}

	private _getOrCreateServiceState(service: string): ServiceState {
		let serviceState = this._serviceStates.get(service);
		if (!serviceState) {
			serviceState = {
				limit: initialLimit, inFlight: 0, lastDurationMs: 0, lastEndedMs: Number.NEGATIVE_INFINITY, owedRank: Infinity, owedUntilMs: 0,
			};
			this._serviceStates.set(service, serviceState);
		}

		return serviceState;
	}
}

/** Notes that a request of this rank got no place, unless a more urgent one is owed the next place. */
function owePlace(serviceState: ServiceState, rank: number, nowMs: number): void {
	if (rank <= serviceState.owedRank || nowMs >= serviceState.owedUntilMs) {
		serviceState.owedRank = rank;
		serviceState.owedUntilMs = nowMs + owedPlaceMs;
	}
}
