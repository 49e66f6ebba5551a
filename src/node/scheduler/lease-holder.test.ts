import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../common/core/clock.js';
import {LeaseStore} from '../../common/scheduler/lease-store.js';
import {LeaseHolder, leaseTtlMs} from './lease-holder.js';

/** Lease store whose replies are set by the test. Each reply to an acquisition or renewal takes `_replyDelayMs` milliseconds. */
class ScriptedLeaseStore extends LeaseStore {
	hasQuorum = true;
	isHeld = true;
	renewals = 0;
	readonly released: number[] = [];

	constructor(private readonly _clock: ManualClock, private readonly _replyDelayMs: number) {
		super();
	}

	override async acquire(): Promise<number | undefined> {
		this._reply();
		return 7;
	}

	override async renew(): Promise<boolean> {
		this._reply();
		this.renewals++;
		return this.isHeld;
	}

	override async release(_name: string, epoch: number): Promise<void> {
		this.released.push(epoch);
	}

	private _reply(): void {
		this._clock.advance(this._replyDelayMs);
		if (!this.hasQuorum) {
			throw new Error('no quorum');
		}
	}
}

function setUp(replyDelayMs = 0) {
	const clock = new ManualClock(1000);
	const store = new ScriptedLeaseStore(clock, replyDelayMs);
	return {clock, store, holder: new LeaseHolder('scheduler/dossiers/0', store, clock)};
}

test('a lease that cannot be renewed ends locally before another process can acquire it, even if the reply to the acquisition was slow', async () => {
	const {clock, store, holder} = setUp(900);
	await holder.renewOrAcquire(true);
	assert.equal(holder.epoch, 7);
	store.hasQuorum = false;
	clock.advance(leaseTtlMs - 900 - 300);
	assert.equal(holder.epoch, 7);
	clock.advance(200);
	assert.equal(holder.epoch, undefined);
});

test('renewals keep the lease, and the lease ends immediately when a renewal reports that it is lost', async () => {
	const {clock, store, holder} = setUp();
	await holder.renewOrAcquire(true);
	for (let i = 0; i < 5; i++) {
		clock.advance(1000);
		await holder.renewOrAcquire(false);
		assert.equal(holder.epoch, 7);
	}

	store.isHeld = false;
	await holder.renewOrAcquire(false);
	assert.equal(holder.epoch, undefined);
	assert.equal(store.renewals, 6);
});

test('the lease is acquired only if the process may acquire it, and only one attempt runs at a time', async () => {
	const {store, holder} = setUp();
	await holder.renewOrAcquire(false);
	assert.equal(holder.epoch, undefined);
	await holder.renewOrAcquire(true);
	await Promise.all([holder.renewOrAcquire(true), holder.renewOrAcquire(true)]);
	assert.equal(store.renewals, 1);
	await holder.release();
	assert.deepEqual([holder.epoch, store.released], [undefined, [7]]);
});

test('a lease that expired while the machine was suspended is not treated as held, although the monotonic clock stood still', async () => {
	const {clock, holder} = setUp();
	await holder.renewOrAcquire(true);
	clock.suspend(leaseTtlMs);
	assert.equal(holder.epoch, undefined);
	await holder.renewOrAcquire(true);
	assert.equal(holder.epoch, 7, 'a renewal must restore the lease');
	// Sets the wall clock back, which must not extend the lease.
	clock.suspend(-60_000);
	clock.advance(leaseTtlMs);
	assert.equal(holder.epoch, undefined);
});
