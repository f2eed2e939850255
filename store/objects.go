package store

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
)

// s3Objects is a client of one bucket of an S3-compatible object store.
type s3Objects struct {
	client  *s3.Client
	bucket  string
	peer    string
	timeout time.Duration
}

// NewObjects returns a client of the object store. Calls are not retried.
func NewObjects(s ObjectSettings) Objects {
	client := s3.NewFromConfig(awsConfig(s.URL), func(o *s3.Options) {
		o.UsePathStyle = true
		o.RequestChecksumCalculation = aws.RequestChecksumCalculationWhenRequired
		o.ResponseChecksumValidation = aws.ResponseChecksumValidationWhenRequired
	})
	return &s3Objects{client: client, bucket: s.Bucket, peer: s.URL, timeout: timeout(s.Timeout)}
}

// Get reads one object.
func (o *s3Objects) Get(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	ctx, a := newAttempt(ctx, "objects.get", o.peer)
	out, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: &o.bucket, Key: &key})
	if err != nil {
		return nil, a.readError(err)
	}
	defer out.Body.Close()
	body, err := io.ReadAll(out.Body)
	if err != nil {
		return nil, a.readError(err)
	}
	return body, nil
}

// Put writes one object, replacing any existing one.
func (o *s3Objects) Put(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	ctx, a := newAttempt(ctx, "objects.put", o.peer)
	_, err := o.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket:        &o.bucket,
		Key:           &key,
		Body:          bytes.NewReader(value),
		ContentLength: aws.Int64(int64(len(value))),
	})
	if err != nil {
		return a.writeError(err)
	}
	return nil
}
