import ModernError from 'modern-errors';

/** Where and why an error occurred. */
export type ErrorContext = {
	/** The failed step of a protocol or of the program, such as `consensus.append`. */
	readonly step: string;
	/** The process, upstream or file that the step involved. */
	readonly peer?: string;
	readonly cause?: unknown;
};

type LocatedErrorOptions = {cause?: unknown; props: {step: string; peer: string | undefined}};

/** An error that names the failed step and the peer involved, if any. */
export type LocatedError = Error & {readonly step: string; readonly peer: string | undefined};

/** Type of the classes returned by `subclass()`. It leaves out the plugin types, with which the linter does not recognize instances as errors. */
type ErrorClass = new (message: string, options: LocatedErrorOptions) => LocatedError;

const baseError = ModernError.subclass('JasmineheadError', {props: {step: '', peer: undefined as string | undefined}});

/* eslint-disable @typescript-eslint/naming-convention -- these constants are classes, which have Pascal case */

/** Base class of the errors of this project. */
export const JasmineheadError: ErrorClass = baseError;
/** A settings or configuration document is invalid. */
export const ConfigurationError: ErrorClass = baseError.subclass('ConfigurationError');
/** A message or connection between processes violates the protocol. */
export const ProtocolError: ErrorClass = baseError.subclass('ProtocolError');
/** A deadline has passed. */
export const TimeoutError: ErrorClass = baseError.subclass('TimeoutError');
/** A file cannot be read or written, or its contents are not trustworthy. */
export const StorageError: ErrorClass = baseError.subclass('StorageError');
/** An upstream failed or refused a request. */
export const UpstreamError: ErrorClass = baseError.subclass('UpstreamError');

/* eslint-enable @typescript-eslint/naming-convention */

/** Builds the options of the error constructors, as in `new ProtocolError('…', at({step: 'transport.hello', peer}))`. */
export function errorContext({step, peer, cause}: ErrorContext): LocatedErrorOptions {
	return {...(cause !== undefined && {cause}), props: {step, peer}};
}
