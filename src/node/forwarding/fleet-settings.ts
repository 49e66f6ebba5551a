import type {ColdAllowance} from '../../common/forwarding/cold-budget.js';
import type {WindowedRetryBudgetLimits} from '../../common/forwarding/windowed-retry-budget.js';

/** Resources of a VM that one process may use. */
export type VmLimits = {
	/** Share of the processor in cores; may be below 1. */
	readonly processorCores: number;
	/** Memory above which the process is killed, in bytes, including data that was received and not yet read. */
	readonly memoryBytes: number;
	/** Number of file descriptors. */
	readonly descriptors: number;
	/** Rate of the network link, in bits per second. */
	readonly linkBitsPerSecond: number;
};

/** Settings of a process that forwards requests by host and path, in addition to those of every process. */
export type FleetSettings = {
	/** Name of the VM on the platform; identifies this process in logs and in orders to engines. */
	readonly node: string;
	/** Addresses (IP and port) that serve the health check, entry-point queries, and metrics with the state dump. */
	readonly listen: {readonly ready: string; readonly directory: string; readonly metrics: string};
	/** Whether the whole system starts for the first time, with empty disks. */
	readonly isInitialClusterStart: boolean;
	/** Address of the platform's server list, and the number of calls per second that the platform accepts from all processes together. */
	readonly serverList?: {readonly address: string; readonly callsPerSecond: number};
	/** Number of VMs with a disk that may be lost at the same time while the configuration can still be read and changed. */
	readonly tolerableLosses: number;
	/** Time from SIGTERM until the process is killed, in milliseconds. */
	readonly stopWithinMs: number;
	/** Minimum time between orders that two different processes give to engines, in milliseconds. */
	readonly minOrderGapMs: number;
	/** Maximum time for which callers keep an entry-point answer, even if the answer states a longer validity, in milliseconds. */
	readonly maxEntryAnswerValidityMs: number;
	readonly retries: WindowedRetryBudgetLimits;
	/** Limits of this VM; absent where the platform states none. */
	readonly vmLimits?: VmLimits;
	/** Region of each availability zone that the settings name. */
	readonly regionByZone: ReadonlyMap<string, string>;
	/** How far the requests per second of a cold server may exceed what it tolerates; absent if cold servers need no protection. */
	readonly coldAllowance?: ColdAllowance;
	/** Time within which the evacuation of a zone must be in force at every process, in milliseconds; absent if operators cannot evacuate zones. */
	readonly evacuateWithinMs?: number;
};
