import type {HardState, PersistBatch, Snapshot} from '../../common/consensus/types.js';

/** Version of the file formats. Files of any other version are rejected. */
export const formatVersion = 1;

/** First record of a segment. Repeats the latest hard state, because the segments that recorded it may be deleted. */
export type SegmentHeader = {
	readonly kind: 'segment';
	readonly format: number;
	readonly diskId: string;
	readonly hardState: HardState;
};

export type BatchRecord = {readonly kind: 'batch'} & Omit<PersistBatch, 'sequence'>;

export type SnapshotRecord = {
	readonly kind: 'snapshot';
	readonly format: number;
	readonly diskId: string;
	readonly snapshot: Snapshot;
};

export type StoredRecord = SegmentHeader | BatchRecord | SnapshotRecord;
