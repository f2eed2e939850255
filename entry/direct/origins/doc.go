// Package origins remembers which software version of a service began each
// resumable stream. What two versions write in one stream does not fit together,
// so a stream may go on only at the version that began it, also when its client
// resumes it at another entry.
//
// Each entry records the streams that it sends to a server. While several versions of a
// service are in use, it copies its records to a few other entries, chosen by a hash
// of the stream, and any entry finds the record there. While one version is in use, no
// copies are needed and none are made.
package origins
