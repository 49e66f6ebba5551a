import type {Disposable} from '../src/common/core/disposable.js';

type Transfer = {remainingBytes: number; resolve: () => void};

/** Interval at which transfers advance, in milliseconds. */
const updateIntervalMs = 2;

/** Network link of limited rate that concurrent transfers share equally. */
export class SharedLink implements Disposable {
	/** While true, transfers make no progress. */
	isStalled = false;
	private readonly _transfers = new Set<Transfer>();
	private _timer: NodeJS.Timeout | undefined;
	private _lastUpdateMs = 0;

	constructor(private readonly _bytesPerSecond: number) {}

	/** Transfers `bytes` bytes and resolves once all of them have crossed the link. If `signal` aborts first, rejects with the reason of the abort and leaves the bandwidth to the other transfers. */
	async transfer(bytes: number, signal: AbortSignal): Promise<void> {
		signal.throwIfAborted();
		return new Promise((resolve, reject) => {
			const transfer: Transfer = {remainingBytes: bytes, resolve};
			this._transfers.add(transfer);
			signal.addEventListener('abort', () => {
				this._transfers.delete(transfer);
				reject(signal.reason as Error);
			}, {once: true});
			if (!this._timer) {
				this._lastUpdateMs = performance.now();
				this._timer = setInterval(() => {
					this._advance();
				}, updateIntervalMs);
			}
		});
	}

	dispose(): void {
		clearInterval(this._timer);
		this._timer = undefined;
	}

	private _advance(): void {
		const nowMs = performance.now();
		let availableBytes = this.isStalled ? 0 : this._bytesPerSecond * (nowMs - this._lastUpdateMs) / 1000;
		this._lastUpdateMs = nowMs;
		while (availableBytes > 0 && this._transfers.size > 0) {
			const bytesPerTransfer = availableBytes / this._transfers.size;
			for (const transfer of this._transfers) {
				const sentBytes = Math.min(bytesPerTransfer, transfer.remainingBytes);
				transfer.remainingBytes -= sentBytes;
				availableBytes -= sentBytes;
				if (transfer.remainingBytes <= 0) {
					this._transfers.delete(transfer);
					transfer.resolve();
				}
			}

			// Rounding errors can leave less than one byte of bandwidth, which no transfer can use, so the loop ends here.
			if (availableBytes < 1) {
				break;
			}
		}

		if (this._transfers.size === 0) {
			this.dispose();
		}
	}
}
