/** Share of the memory for bodies that one tenant may occupy. */
const tenantShare = 0.25;

/** Bounds the memory that request bodies occupy in this process, and what one tenant may have of it. */
export class BodyMemory {
	private _used = 0;
	private readonly _usedByTenant = new Map<string, number>();

	constructor(private readonly _limitBytes: number) {}

	get used(): number {
		return this._used;
	}

	/** Takes memory if the process and the tenant have enough left. */
	take(tenant: string, bytes: number): boolean {
		const ofTenant = (this._usedByTenant.get(tenant) ?? 0) + bytes;
		if (this._used + bytes > this._limitBytes || ofTenant > this._limitBytes * tenantShare) {
			return false;
		}

		this._used += bytes;
		this._usedByTenant.set(tenant, ofTenant);
		return true;
	}

	/** Returns memory that was taken. */
	give(tenant: string, bytes: number): void {
		this._used -= bytes;
		const left = (this._usedByTenant.get(tenant) ?? 0) - bytes;
		if (left > 0) {
			this._usedByTenant.set(tenant, left);
		} else {
			this._usedByTenant.delete(tenant);
		}
	}
}
