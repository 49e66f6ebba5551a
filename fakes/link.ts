import type {Disposable} from '../src/common/core/disposable.js';

type Transfer = {remaining: number; resolve: () => void};

/** Length of one time slice, in milliseconds. */
const sliceMs = 2;

/** A link of limited rate whose concurrent transfers share it equally. */
export class SharedLink implements Disposable {
	/** While true no byte moves. */
	isStalled = false;
	private readonly _transfers = new Set<Transfer>();
	private _timer: NodeJS.Timeout | undefined;
	private _lastMs = 0;

	/** `rate` is in bytes per second. */
	constructor(private readonly _rate: number) {}

	/** Resolves when the bytes have crossed; an abort gives the bandwidth back and rejects. */
	async transfer(bytes: number, signal: AbortSignal): Promise<void> {
		signal.throwIfAborted();
		return new Promise((resolve, reject) => {
			const transfer: Transfer = {remaining: bytes, resolve};
			this._transfers.add(transfer);
			signal.addEventListener('abort', () => {
				this._transfers.delete(transfer);
				reject(signal.reason as Error);
			}, {once: true});
			if (!this._timer) {
				this._lastMs = performance.now();
				this._timer = setInterval(() => {
					this._advance();
				}, sliceMs);
			}
		});
	}

	dispose(): void {
		clearInterval(this._timer);
		this._timer = undefined;
	}

	private _advance(): void {
		const nowMs = performance.now();
		let available = this.isStalled ? 0 : this._rate * (nowMs - this._lastMs) / 1000;
		this._lastMs = nowMs;
		while (available > 0 && this._transfers.size > 0) {
			const share = available / this._transfers.size;
			for (const transfer of this._transfers) {
				const used = Math.min(share, transfer.remaining);
				transfer.remaining -= used;
				available -= used;
				if (transfer.remaining <= 0) {
					this._transfers.delete(transfer);
					transfer.resolve();
				}
			}

			// Rounding may leave a sliver that no transfer can take.
			if (available < 1) {
				break;
			}
		}

		if (this._transfers.size === 0) {
			this.dispose();
		}
	}
}
