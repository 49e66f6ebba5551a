/** Owns listeners, timers or sockets until disposed. */
export type Disposable = {
	dispose(): Promise<void> | void;
};

/** Disposes what was registered in reverse order. */
export class DisposableStore implements Disposable {
	private readonly _items: Disposable[] = [];
	private _isDisposed = false;

	/** Registers an item and returns it. */
	add<T extends Disposable>(item: T): T {
		this._items.push(item);
		return item;
	}

	/** Disposes every item even if some fail, then throws the first error. */
	async dispose(): Promise<void> {
		if (this._isDisposed) {
			return;
		}

		this._isDisposed = true;
		const errors: unknown[] = [];
		for (const item of this._items.reverse()) {
			try {
				await item.dispose();
			} catch (err) {
				errors.push(err);
			}
		}

		if (errors.length > 0) {
			throw errors[0];
		}
	}
}
