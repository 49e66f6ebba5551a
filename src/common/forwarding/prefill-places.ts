/**
Prompts that all processes together have under way for each prefill engine of a pool. An engine reads one in about 0.1 s, so the last of
them is read within a latency objective of 0.9 s; more would only wait there, each with memory reserved for it on a decode engine.
*/
const promptsPerEngine = 6;

/** This process's part of the prompts that the prefill engines of each service may have under way. */
export class PrefillPlaces {
	private readonly _taken = new Map<string, number>();

	/** False if this process has its part under way already. A pool without prefill engines has no bound. */
	take(service: string, engines: number, processes: number): boolean {
		const taken = this._taken.get(service) ?? 0;
		const limit = engines === 0 ? Infinity : Math.max(1, Math.ceil(promptsPerEngine * engines / Math.max(1, processes)));
		if (taken >= limit) {
			return false;
		}

		this._taken.set(service, taken + 1);
		return true;
	}

	release(service: string): void {
		this._taken.set(service, (this._taken.get(service) ?? 0) - 1);
	}
}
