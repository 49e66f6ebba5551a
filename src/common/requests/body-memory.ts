/** Largest fraction (0 to 1) of the memory for request bodies that one customer may occupy. */
const maxCustomerShare = 0.25;

/** Limits the memory that request bodies occupy in this process, in total and per customer. */
export class BodyMemoryBudget {
	private _usedBytes = 0;
	private readonly _usedBytesByCustomer = new Map<string, number>();

	constructor(private readonly _limitBytes: number) {}

	/** Memory reserved by all customers, in bytes. */
	get usedBytes(): number {
		return this._usedBytes;
	}

	/** Reserves memory for a request body and returns true; reserves nothing and returns false if the process or the customer would exceed its limit. */
	tryReserve(customer: string, bytes: number): boolean {
		const customerBytes = (this._usedBytesByCustomer.get(customer) ?? 0) + bytes;
		if (this._usedBytes + bytes > this._limitBytes || customerBytes > this._limitBytes * maxCustomerShare) {
			return false;
		}

		this._usedBytes += bytes;
		this._usedBytesByCustomer.set(customer, customerBytes);
		return true;
	}

	/** Releases memory reserved by `tryReserve`. */
	release(customer: string, bytes: number): void {
		this._usedBytes -= bytes;
		const remainingBytes = (this._usedBytesByCustomer.get(customer) ?? 0) - bytes;
		if (remainingBytes > 0) {
			this._usedBytesByCustomer.set(customer, remainingBytes);
		} else {
			this._usedBytesByCustomer.delete(customer);
		}
	}
}
