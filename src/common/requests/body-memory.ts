/** Largest fraction (0 to 1) of the memory for request bodies that one tenant may occupy. */
const maxTenantShare = 0.25;

/** Limits the memory that request bodies occupy in this process, in total and per tenant. */
export class BodyMemoryBudget {
	private _usedBytes = 0;
	private readonly _usedBytesByTenant = new Map<string, number>();

	constructor(private readonly _limitBytes: number) {}

	/** Memory reserved by all tenants, in bytes. */
	get usedBytes(): number {
		return this._usedBytes;
	}

	/** Reserves memory for a request body and returns true; reserves nothing and returns false if the process or the tenant would exceed its limit. */
	tryReserve(tenant: string, bytes: number): boolean {
		const tenantBytes = (this._usedBytesByTenant.get(tenant) ?? 0) + bytes;
		if (this._usedBytes + bytes > this._limitBytes || tenantBytes > this._limitBytes * maxTenantShare) {
			return false;
		}

		this._usedBytes += bytes;
		this._usedBytesByTenant.set(tenant, tenantBytes);
		return true;
	}

	/** Releases memory reserved by `tryReserve`. */
	release(tenant: string, bytes: number): void {
		this._usedBytes -= bytes;
		const remainingBytes = (this._usedBytesByTenant.get(tenant) ?? 0) - bytes;
		if (remainingBytes > 0) {
			this._usedBytesByTenant.set(tenant, remainingBytes);
		} else {
			this._usedBytesByTenant.delete(tenant);
		}
	}
}
