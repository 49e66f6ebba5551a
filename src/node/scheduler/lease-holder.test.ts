import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../common/core/clock.js';
import {LeaseKeeper} from '../../common/scheduler/lease-keeper.js';
import {LeaseHolder, leaseTtlMs} from './lease-holder.js';

/** Answers as told; each answer takes the given time. */
class ScriptedKeeper extends LeaseKeeper {
	isUp = true;
	isHeld = true;
	renewals = 0;
	readonly released: number[] = [];

	constructor(private readonly _clock: ManualClock, private readonly _answerMs: number) {
		super();
	}

	override async acquire(): Promise<number | undefined> {
		this._answer();
		return 7;
	}

	override async renew(): Promise<boolean> {
		this._answer();
		this.renewals++;
		return this.isHeld;
	}

	override async release(_name: string, epoch: number): Promise<void> {
		this.released.push(epoch);
	}

	private _answer(): void {
		this._clock.advance(this._answerMs);
		if (!this.isUp) {
			throw new Error('no quorum');
		}
	}
}

function setUp(answerMs = 0) {
	const clock = new ManualClock(1000);
	const keeper = new ScriptedKeeper(clock, answerMs);
	return {clock, keeper, holder: new LeaseHolder('scheduler/dossiers/0', keeper, clock)};
}

test('a lease that cannot be renewed ends here before it can go to another process, counted from when it was asked for', async () => {
	const {clock, keeper, holder} = setUp(900);
	await holder.step(true);
	assert.equal(holder.epoch, 7);
	keeper.isUp = false;
	clock.advance(leaseTtlMs - 900 - 300);
	assert.equal(holder.epoch, 7);
	clock.advance(200);
	assert.equal(holder.epoch, undefined);
});

test('renewals keep the lease, and a lost lease ends at once', async () => {
	const {clock, keeper, holder} = setUp();
	await holder.step(true);
	for (let i = 0; i < 5; i++) {
		clock.advance(1000);
		await holder.step(false);
		assert.equal(holder.epoch, 7);
	}

	keeper.isHeld = false;
	await holder.step(false);
	assert.equal(holder.epoch, undefined);
	assert.equal(keeper.renewals, 6);
});

test('a process that may not apply acquires nothing, and one attempt runs at a time', async () => {
	const {keeper, holder} = setUp();
	await holder.step(false);
	assert.equal(holder.epoch, undefined);
	await holder.step(true);
	await Promise.all([holder.step(true), holder.step(true)]);
	assert.equal(keeper.renewals, 1);
	await holder.release();
	assert.deepEqual([holder.epoch, keeper.released], [undefined, [7]]);
});

test('guards against a process that acts on its lease after its machine was suspended, although its monotonic clock stood still', async () => {
	const {clock, holder} = setUp();
	await holder.step(true);
	clock.suspend(leaseTtlMs);
	assert.equal(holder.epoch, undefined);
	await holder.step(true);
	assert.equal(holder.epoch, 7, 'renewed');
	// A clock that was set back must not lengthen the lease.
	clock.suspend(-60_000);
	clock.advance(leaseTtlMs);
	assert.equal(holder.epoch, undefined);
});
