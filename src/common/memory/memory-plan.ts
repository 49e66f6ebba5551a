/** Resources of the VM that the plan divides. */
export type PlannedVm = {
	/** Memory above which the process is killed, in bytes. */
	readonly memoryBytes: number;
	/** Number of file descriptors. */
	readonly descriptors: number;
};

/** How the memory and the descriptors of a VM are divided. */
export type MemoryPlan = {
	/** Memory that callers may make the process hold, in bytes. */
	readonly totalBytes: number;
	/** Memory of running requests without their bodies and answers, in bytes. */
	readonly maxRequestBytes: number;
	/** Memory that heads of callers which have not ended may occupy, in bytes. */
	readonly headBytes: number;
	/** The same for each of the other HTTP ports. */
	readonly serviceHeadBytes: number;
	/** Largest number of open connections of callers. */
	readonly maxCallers: number;
	/** Largest number of open connections to each of the other HTTP ports: those of operators, of the directory, of readiness checks and of metrics. */
	readonly maxServiceCallers: number;
	/** Largest number of connections of peers that have not proved who they are. */
	readonly maxUnprovenPeers: number;
};

/** Memory of a process under load without what callers make it hold, in bytes. */
const baseBytes = 118_000_000;
/** Part of the memory above the base that is given out; the rest is for copies that are not collected yet. */
const grantedShare = 0.4;
/** Memory that is given out at least, in bytes; several times a body of the usual limit. */
const minTotalBytes = 12_582_912;
/** Memory that is given out where the VM's memory is not known, in bytes. */
const defaultTotalBytes = 67_108_864;
const headBytes = 8_388_608;
const serviceHeadBytes = 2_097_152;
const maxRequestBytes = 25_165_824;
/** Descriptors that are reserved for files outside the data folder. */
const reservedDescriptors = 200;
/** Parts of the other descriptors; the rest is for connections to servers and peers and for data files. */
const callerShare = 0.4;
const serviceShare = 0.025;
const unprovenShare = 0.2;
/** Limits where the VM's descriptors are not known. */
const defaultConnections = {maxCallers: 10_000, maxServiceCallers: 250, maxUnprovenPeers: 1000};

/** Divides the resources of a VM; those of a VM that states no limits are taken as ample. */
export function planMemory(vm: PlannedVm | undefined): MemoryPlan {
	if (!vm) {
		return {
			totalBytes: defaultTotalBytes, maxRequestBytes, headBytes, serviceHeadBytes, ...defaultConnections,
		};
	}

	const descriptors = Math.max(0, vm.descriptors - reservedDescriptors);
	return {
		totalBytes: Math.max(minTotalBytes, Math.floor((vm.memoryBytes - baseBytes) * grantedShare)),
		maxRequestBytes,
		headBytes,
		serviceHeadBytes,
		maxCallers: Math.max(1, Math.floor(descriptors * callerShare)),
		maxServiceCallers: Math.max(1, Math.floor(descriptors * serviceShare)),
		maxUnprovenPeers: Math.max(1, Math.floor(descriptors * unprovenShare)),
	};
}
